// Package manifester holds the declared state of a fleet: services, teams and
// routes, and the changes that lead from one version to the next. It knows no
// encoding and does no I/O. All values are immutable once built.
package manifester

import "time"

// Class orders services by what their requests are worth under overload.
type Class string

// The classes, in order of importance.
const (
	ClassBooking  Class = "booking"
	ClassLookup   Class = "lookup"
	ClassBrowsing Class = "browsing"
)

// Classes returns every class, the most important first.
func Classes() []Class {
	return []Class{ClassBooking, ClassLookup, ClassBrowsing}
}

// Valid reports whether the class is known.
func (c Class) Valid() bool {
	return c == ClassBooking || c == ClassLookup || c == ClassBrowsing
}

// Target is one upstream endpoint of a service.
type Target struct {
	name       string
	address    string
	dataCentre string
	// slots is the number of requests that the target runs at once; at least 1.
	slots int
	// connections bounds the open connections of the whole fleet; at least 1.
	connections int
	// leaving targets get no new work.
	leaving bool
}

// TargetSpec lists the attributes of a target.
type TargetSpec struct {
	Name        string
	Address     string
	DataCentre  string
	Slots       int
	Connections int
	Leaving     bool
}

// NewTarget returns a target.
func NewTarget(s TargetSpec) *Target {
	return &Target{
		name:        s.Name,
		address:     s.Address,
		dataCentre:  s.DataCentre,
		slots:       s.Slots,
		connections: s.Connections,
		leaving:     s.Leaving,
	}
}

// Name returns the name, unique within the service.
func (t *Target) Name() string { return t.name }

// Address returns the IP address and port.
func (t *Target) Address() string { return t.address }

// DataCentre returns the data centre of the target.
func (t *Target) DataCentre() string { return t.dataCentre }

// Slots returns how many requests the target runs at once.
func (t *Target) Slots() int { return t.slots }

// Connections returns the most connections the fleet may hold open.
func (t *Target) Connections() int { return t.connections }

// Leaving reports whether the target must get no new work.
func (t *Target) Leaving() bool { return t.leaving }

// Service is a group of targets that answer the same requests.
type Service struct {
	name  string
	class Class
	// floor is the healthy capacity, in slots, below which ejection never
	// goes; at most the sum of the slots of all targets.
	floor   int
	targets []*Target
}

// NewService returns a service.
func NewService(name string, class Class, floor int, targets []*Target) *Service {
	return &Service{
		name:    name,
		class:   class,
		floor:   floor,
		targets: append([]*Target(nil), targets...),
	}
}

// Name returns the unique name.
func (s *Service) Name() string { return s.name }

// Class returns the class.
func (s *Service) Class() Class { return s.class }

// Floor returns the least healthy capacity in slots that ejection must leave.
func (s *Service) Floor() int { return s.floor }

// Targets returns the targets; the caller must not change the slice.
func (s *Service) Targets() []*Target { return s.targets }

// Slots returns the sum of the slots of all targets.
func (s *Service) Slots() int {
	n := 0
	for _, t := range s.targets {
		n += t.slots
	}

	return n
}

// Team is a tenant whose callers present its keys.
type Team struct {
	name string
	// rate is the sustained rate in requests per second; above 0.
	rate float64
	// burst is the number of requests that may come at once; at least 1.
	burst float64
	// weight is the team's part in fair sharing; above 0.
	weight float64
	// keyDigests are the lower-case hexadecimal SHA-256 digests of its keys.
	keyDigests []string
}

// NewTeam returns a team. The rate is in requests per second.
func NewTeam(name string, rate, burst, weight float64, keyDigests []string) *Team {
	return &Team{
		name:       name,
		rate:       rate,
		burst:      burst,
		weight:     weight,
		keyDigests: append([]string(nil), keyDigests...),
	}
}

// Name returns the unique name.
func (t *Team) Name() string { return t.name }

// Rate returns the sustained rate in requests per second.
func (t *Team) Rate() float64 { return t.rate }

// Burst returns the number of requests that may come at once.
func (t *Team) Burst() float64 { return t.burst }

// Weight returns the team's part in fair sharing.
func (t *Team) Weight() float64 { return t.weight }

// KeyDigests returns the digests of the team's keys; the caller must not
// change the slice.
func (t *Team) KeyDigests() []string { return t.keyDigests }

// Route sends requests of a method and path prefix to a service.
type Route struct {
	name string
	// method is an upper-case method, or "*" for any.
	method string
	// prefix starts with "/" and matches whole path segments.
	prefix  string
	service string
	// open routes need no key.
	open bool
	// idempotent requests may be sent more than once.
	idempotent bool
	// timeout bounds the time from arrival to answer; above 0.
	timeout time.Duration
}

// RouteSpec lists the attributes of a route.
type RouteSpec struct {
	Name       string
	Method     string
	Prefix     string
	Service    string
	Open       bool
	Idempotent bool
	Timeout    time.Duration
}

// NewRoute returns a route.
func NewRoute(s RouteSpec) *Route {
	return &Route{
		name:       s.Name,
		method:     s.Method,
		prefix:     s.Prefix,
		service:    s.Service,
		open:       s.Open,
		idempotent: s.Idempotent,
		timeout:    s.Timeout,
	}
}

// Name returns the unique name.
func (r *Route) Name() string { return r.name }

// Method returns the method, or "*" for any.
func (r *Route) Method() string { return r.method }

// Prefix returns the path prefix.
func (r *Route) Prefix() string { return r.prefix }

// Service returns the name of the service.
func (r *Route) Service() string { return r.service }

// Open reports whether the route needs no key.
func (r *Route) Open() bool { return r.open }

// Idempotent reports whether a request may be sent more than once.
func (r *Route) Idempotent() bool { return r.idempotent }

// Timeout returns the time from arrival to answer.
func (r *Route) Timeout() time.Duration { return r.timeout }
