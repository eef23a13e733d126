// Package manifester holds the declared state of a fleet: services, teams and
// routes, and the changes from one version to the next. It is independent of any
// encoding and does no I/O. All values are immutable once built.
package manifester

import (
	"math"
	"slices"
	"time"
)

// Class ranks services by the importance of their requests under overload.
type Class string

// The classes, the most important first.
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
	// connections bounds the open connections of the whole fleet to the target; at
	// least 1.
	connections int
	// leaving targets get no new requests.
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

// Connections returns the largest number of connections that the whole fleet may hold
// open to the target.
func (t *Target) Connections() int { return t.connections }

// Leaving reports whether the target must get no new requests.
func (t *Target) Leaving() bool { return t.leaving }

// Service is a group of targets that answer the same requests.
type Service struct {
	name  string
	class Class
	// floor is the minimum of healthy capacity, in slots, that ejection must leave; at
	// most the sum of the slots of all targets.
	floor   int
	targets []*Target
	// listed services get their targets from the platform's list of targets and
	// declare none.
	listed bool
	// connections bounds the open connections of the whole fleet to each target
	// of a listed service, where it is at least 1.
	connections int
	// warmUpRate is the number of requests per second that a cold target can handle; 0
	// where none is declared.
	warmUpRate float64
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

// NewListedService returns a service whose targets come from the platform's list of
// targets. The argument connections bounds the open connections of the whole fleet to each
// target.
func NewListedService(name string, class Class, connections int) *Service {
	return &Service{
		name:        name,
		class:       class,
		listed:      true,
		connections: connections,
	}
}

// WithWarmUpRate returns a copy of the service with the number of requests per second, from
// the whole fleet, that one of its cold targets can handle; 0 for no bound.
func (s *Service) WithWarmUpRate(perSecond float64) *Service {
	c := *s
	c.warmUpRate = perSecond

	return &c
}

// WarmUpRate returns the number of requests per second that a cold target can handle, or 0
// where none is declared.
func (s *Service) WarmUpRate() float64 { return s.warmUpRate }

// Name returns the name, unique among services.
func (s *Service) Name() string { return s.name }

// Class returns the class.
func (s *Service) Class() Class { return s.class }

// Floor returns the minimum of healthy capacity, in slots, that ejection must leave.
func (s *Service) Floor() int { return s.floor }

// Listed reports whether the targets come from the platform's list of targets.
func (s *Service) Listed() bool { return s.listed }

// Connections returns the largest number of connections that the whole fleet may hold open
// to one target of a listed service, or 0 for other services.
func (s *Service) Connections() int { return s.connections }

// Targets returns the targets; the caller must not change the slice.
func (s *Service) Targets() []*Target { return s.targets }

// Slots returns the sum of the slots of all declared targets.
func (s *Service) Slots() int {
	n := 0
	for _, t := range s.targets {
		n += t.slots
	}

	return n
}

// Team is a tenant; its callers authenticate with its keys.
type Team struct {
	name string
	// rate is the sustained rate in requests per second; above 0, and +Inf for a team
	// without a limit.
	rate float64
	// burst is the number of requests that may arrive at once; at least 1.
	burst float64
	// weight is the team's weight in fair queueing; above 0.
	weight float64
	// priority orders the teams; 0 is the most important.
	priority int
	// keyDigests are the lower-case hexadecimal SHA-256 digests of its keys.
	keyDigests []string
}

// NewTeam returns a team. The rate is in requests per second, and +Inf for no limit; the
// burst is in requests. The digests are the lower-case hexadecimal SHA-256 of the keys.
func NewTeam(name string, rate, burst, weight float64, keyDigests []string) *Team {
	return &Team{
		name:       name,
		rate:       rate,
		burst:      burst,
		weight:     weight,
		keyDigests: append([]string(nil), keyDigests...),
	}
}

// WithPriority returns a copy of the team with the given priority; 0 is the most
// important.
func (t *Team) WithPriority(priority int) *Team {
	c := *t
	c.priority = priority

	return &c
}

// Priority returns the team's priority; 0 is the most important.
func (t *Team) Priority() int { return t.priority }

// Limited reports whether the team has a rate limit.
func (t *Team) Limited() bool { return !math.IsInf(t.rate, 1) }

// Name returns the name, unique among teams.
func (t *Team) Name() string { return t.name }

// Rate returns the sustained rate in requests per second; +Inf for no limit.
func (t *Team) Rate() float64 { return t.rate }

// Burst returns the number of requests that may arrive at once.
func (t *Team) Burst() float64 { return t.burst }

// Weight returns the team's weight in fair queueing.
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
	// open routes accept requests without a key.
	open bool
	// idempotent requests may be sent more than once.
	idempotent bool
	// timeout bounds the time from the arrival of a request to its response; above 0.
	timeout time.Duration
	// host is the only host that the route matches; "" for a route without a host, which
	// matches every host.
	host string
	// subpathsOnly routes match paths below the prefix but not the prefix itself,
	// unless it is "/".
	subpathsOnly bool
	// attempts bounds the number of one request's attempts that targets may have run;
	// 0 if only the fleet's own bounds apply.
	attempts int
	// latencyGoal is the time within which a response should come; 0 if unknown.
	latencyGoal time.Duration
	// priority orders the routes of teams of one priority; 0 is the most important.
	priority int
	// shares split the requests among several services; empty for a route of one
	// service.
	shares []Share
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
	Host       string
	// SubpathsOnly excludes the prefix itself, unless it is "/".
	SubpathsOnly bool
	Attempts     int
	LatencyGoal  time.Duration
	Priority     int
	// Shares replace Service; the first of them then sets the service of the route.
	Shares []Share
}

// NewRoute returns a route.
func NewRoute(s RouteSpec) *Route {
	if len(s.Shares) > 0 {
		s.Service = s.Shares[0].service
	}

	return &Route{
		name:         s.Name,
		method:       s.Method,
		prefix:       s.Prefix,
		service:      s.Service,
		open:         s.Open,
		idempotent:   s.Idempotent,
		timeout:      s.Timeout,
		host:         s.Host,
		subpathsOnly: s.SubpathsOnly,
		attempts:     s.Attempts,
		latencyGoal:  s.LatencyGoal,
		priority:     s.Priority,
		shares:       slices.Clone(s.Shares),
	}
}

// Name returns the name, unique among routes.
func (r *Route) Name() string { return r.name }

// Method returns the method, or "*" for any.
func (r *Route) Method() string { return r.method }

// Prefix returns the path prefix.
func (r *Route) Prefix() string { return r.prefix }

// Service returns the name of the service; the first one for a route with shares.
func (r *Route) Service() string { return r.service }

// Open reports whether the route accepts requests without a key.
func (r *Route) Open() bool { return r.open }

// Idempotent reports whether a request may be sent more than once.
func (r *Route) Idempotent() bool { return r.idempotent }

// Timeout returns the longest time from the arrival of a request to its response.
func (r *Route) Timeout() time.Duration { return r.timeout }

// Host returns the only host that the route matches, or "" for every host.
func (r *Route) Host() string { return r.host }

// Attempts returns the largest number of one request's attempts that targets may have run,
// or 0 if only the fleet's own bounds apply.
func (r *Route) Attempts() int { return r.attempts }

// LatencyGoal returns the time within which a response should come, or 0 if unknown.
func (r *Route) LatencyGoal() time.Duration { return r.latencyGoal }

// Priority returns the route's priority; 0 is the most important.
func (r *Route) Priority() int { return r.priority }

// Shares returns the services that the requests are split among, or none for a route of
// one service; the caller must not change the slice.
func (r *Route) Shares() []Share { return r.shares }

// Services returns the names of all services that the route may send to.
func (r *Route) Services() []string {
	if len(r.shares) == 0 {
		return []string{r.service}
	}
	list := make([]string, len(r.shares))
	for i, s := range r.shares {
		list[i] = s.service
	}

	return list
}

// prefixKey returns the key of the route in the index by prefix.
func (r *Route) prefixKey() string { return prefixKeyOf(r.host, r.prefix) }

// prefixKeyOf returns the key of a host and prefix. No host contains a slash, so the keys
// of different hosts differ.
func prefixKeyOf(host, prefix string) string { return host + prefix }

// equal reports whether all attributes of both routes are equal.
func (r *Route) equal(o *Route) bool {
	return slices.Equal(r.shares, o.shares) && r.scalarFields() == o.scalarFields()
}

// scalarFields returns all attributes of the route except its shares.
func (r *Route) scalarFields() routeScalars {
	return routeScalars{
		texts:    [...]string{r.name, r.host, r.method, r.prefix, r.service},
		flags:    [...]bool{r.subpathsOnly, r.open, r.idempotent},
		times:    [...]time.Duration{r.timeout, r.latencyGoal},
		attempts: r.attempts,
		priority: r.priority,
	}
}

// routeScalars holds the attributes of a route that can be compared with ==.
type routeScalars struct {
	texts    [5]string
	flags    [3]bool
	times    [2]time.Duration
	attempts int
	priority int
}
