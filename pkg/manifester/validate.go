package manifester

import (
	"fmt"
	"net"
	"regexp"
	"strconv"
	"strings"
)

// Fault is one reason why a document or a manifest is refused.
type Fault struct {
	path   string
	reason string
	accept string
}

// NewFault returns a fault. The path locates the value, either in a JSON document, such as
// $.teams[0].rate, or by the name of its object, such as teams.NAME.rate. The reason says
// what is wrong, and accept what would be accepted instead.
func NewFault(path, reason, accept string) Fault {
	return Fault{
		path:   path,
		reason: reason,
		accept: accept,
	}
}

// Path returns the path of the value, in one of the forms that NewFault describes.
func (f Fault) Path() string { return f.path }

// Reason says what is wrong.
func (f Fault) Reason() string { return f.reason }

// Accept says what would be accepted instead.
func (f Fault) Accept() string { return f.accept }

// String returns the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s; accepted: %s", f.path, f.reason, f.accept)
}

// Faults is the error for a refused document or manifest. It is never empty when returned
// as an error.
type Faults []Fault //nolint:errname // A list that is also an error.

// Error implements error.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}

	return strings.Join(lines, "\n")
}

// namePattern matches valid names of services, targets, teams and routes.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

var (
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	methodPattern = regexp.MustCompile(`^(\*|[A-Z]{1,16})$`)
)

// validator collects the faults of a manifest.
type validator struct {
	faults Faults
}

func (v *validator) add(path, reason, accept string) {
	v.faults = append(v.faults, NewFault(path, reason, accept))
}

func (v *validator) checkName(path, name string) {
	if !namePattern.MatchString(name) {
		v.add(path, fmt.Sprintf("name %q is not valid", name), "1 to 63 of a-z, 0-9, '.' and '-', starting with a letter or digit")
	}
}

// validate checks the whole manifest and returns every fault.
func (m *Manifest) validate() Faults {
	v := &validator{}
	for _, s := range m.Services() {
		v.checkService(s)
	}
	owners := map[string]string{}
	for _, t := range m.Teams() {
		v.checkTeam(t, owners)
	}
	taken := map[string]string{}
	for _, r := range m.Routes() {
		v.checkRoute(r, m.services, taken)
	}

	return v.faults
}

func (v *validator) checkService(s *Service) {
	path := "services." + s.name
	v.checkName(path, s.name)
	if !s.class.Valid() {
		v.add(path+".class", fmt.Sprintf("class %q is not known", s.class), "booking, lookup or browsing")
	}
	if s.listed {
		if s.connections < 1 {
			v.add(path+".connections", fmt.Sprintf("connections is %d", s.connections), "1 or more")
		}
		if s.warmUpRate < 0 {
			v.add(path+".warmupPerS", fmt.Sprintf("warmupPerS is %v", s.warmUpRate), "a number above 0, or 0 for no bound")
		}

		return
	}
	if len(s.targets) == 0 {
		v.add(path+".targets", "the service has no target", "at least one target")
	}
	if s.floor < 0 || s.floor > s.Slots() {
		v.add(path+".floor", fmt.Sprintf("floor %d is outside the capacity of the targets", s.floor),
			fmt.Sprintf("0 to %d slots", s.Slots()))
	}
	seen := map[string]bool{}
	addresses := map[string]bool{}
	for i, t := range s.targets {
		at := path + ".targets[" + strconv.Itoa(i) + "]"
		if seen[t.name] {
			v.add(at+".name", fmt.Sprintf("target %q is declared twice", t.name), "a name of its own for each target")
		}
		if addresses[t.address] {
			v.add(at+".address", fmt.Sprintf("address %q is declared twice", t.address), "an address of its own for each target")
		}
		seen[t.name] = true
		addresses[t.address] = true
		v.checkTarget(at, t)
	}
}

func (v *validator) checkTarget(path string, t *Target) {
	v.checkName(path+".name", t.name)
	if !validAddress(t.address) {
		v.add(path+".address", fmt.Sprintf("address %q is not an IP address and port", t.address), "an address such as 10.0.0.1:8080")
	}
	if t.dataCentre == "" {
		v.add(path+".dataCentre", "the data centre is empty", "the name of a data centre")
	}
	if t.slots < 1 {
		v.add(path+".slots", fmt.Sprintf("slots is %d", t.slots), "1 or more")
	}
	if t.connections < 1 {
		v.add(path+".connections", fmt.Sprintf("connections is %d", t.connections), "1 or more")
	}
}

func validAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.Atoi(port)

	return err == nil && n > 0 && n < 1<<16
}

func (v *validator) checkTeam(t *Team, owners map[string]string) {
	path := "teams." + t.name
	v.checkName(path, t.name)
	if !(t.rate > 0) {
		v.add(path+".rate", fmt.Sprintf("rate is %v", t.rate), "a number of requests per second above 0")
	}
	if !(t.burst >= 1) {
		v.add(path+".burst", fmt.Sprintf("burst is %v", t.burst), "1 or more requests")
	}
	if !(t.weight > 0) {
		v.add(path+".weight", fmt.Sprintf("weight is %v", t.weight), "a number above 0")
	}
	for i, d := range t.keyDigests {
		at := path + ".keys[" + strconv.Itoa(i) + "]"
		if !digestPattern.MatchString(d) {
			v.add(at, "the key digest is not valid", "64 lower-case hexadecimal digits, as `lagoonkeel key new` prints them")
		}
		if other, ok := owners[d]; ok {
			v.add(at, fmt.Sprintf("the key digest is also a key of team %q", other), "a key of its own for each team")
		}
		owners[d] = t.name
	}
}

func (v *validator) checkRoute(r *Route, services *table[*Service], taken map[string]string) {
	path := "routes." + r.name
	v.checkName(path, r.name)
	if !methodPattern.MatchString(r.method) {
		v.add(path+".method", fmt.Sprintf("method %q is not valid", r.method), "an upper-case method, or * for any")
	}
	if !validPrefix(r.prefix) {
		v.add(path+".prefix", fmt.Sprintf("prefix %q is not valid", r.prefix), "a path that starts with / and does not end with it, or / alone")
	}
	for _, s := range r.Services() {
		if _, declared := services.get(s); !declared {
			v.add(path+".service", fmt.Sprintf("service %q is not declared", s), "the name of a declared service")
		}
	}
	for _, s := range r.shares {
		if !(s.weight > 0) {
			v.add(path+".shares", fmt.Sprintf("the weight of service %q is %v", s.service, s.weight), "a number above 0")
		}
	}
	if r.attempts < 0 {
		v.add(path+".attempts", fmt.Sprintf("attempts is %d", r.attempts), "1 or more, or 0 for the fleet's own bounds")
	}
	if r.timeout <= 0 {
		v.add(path+".timeoutMs", fmt.Sprintf("timeout is %v", r.timeout), "1 or more milliseconds")
	}
	key := r.method + " " + r.prefixKey()
	if other, ok := taken[key]; ok {
		v.add(path+".prefix", fmt.Sprintf("route %q has the same method and prefix", other), "a method and prefix of its own for each route")
	}
	taken[key] = r.name
}

func validPrefix(prefix string) bool {
	if prefix == "/" {
		return true
	}

	return strings.HasPrefix(prefix, "/") && !strings.HasSuffix(prefix, "/") && !strings.Contains(prefix, "//") &&
		!strings.ContainsAny(prefix, "?#% ")
}
