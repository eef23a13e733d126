package decoder

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// collector gathers the faults of one document.
type collector struct {
	faults manifester.Faults
}

func (c *collector) add(path, reason, accept string) {
	c.faults = append(c.faults, manifester.NewFault(path, reason, accept))
}

// err returns the collected faults as an error, or nil.
func (c *collector) err() error {
	if len(c.faults) == 0 {
		return nil
	}

	return c.faults
}

// reader takes members out of one object. Members that nobody took are
// reported as unknown by close.
type reader struct {
	path      string
	members   object
	taken     map[string]bool
	collector *collector
}

// openRoot parses a document whose root is an object.
func openRoot(data []byte) (*reader, *collector, error) {
	v, err := parse(data)
	if err != nil {
		return nil, nil, err
	}
	c := &collector{}
	r, ok := newReader(rootPath, v, c)
	if !ok {
		return nil, nil, c.faults
	}

	return r, c, nil
}

func newReader(path string, v any, c *collector) (*reader, bool) {
	o, ok := v.(object)
	if !ok {
		c.add(path, "the value is "+kind(v), "an object")

		return nil, false
	}

	return &reader{
		path:      path,
		members:   o,
		taken:     map[string]bool{},
		collector: c,
	}, true
}

// close reports every member that was not taken.
func (r *reader) close() {
	for _, m := range r.members {
		if !r.taken[m.name] {
			r.collector.add(r.at(m.name), "the field is not known", "one of the documented fields")
		}
	}
}

func (r *reader) at(name string) string {
	return r.path + "." + name
}

func (r *reader) take(name string) (any, bool) {
	r.taken[name] = true
	for _, m := range r.members {
		if m.name == name {
			return m.value, true
		}
	}

	return nil, false
}

func (r *reader) require(name, accept string) (any, bool) {
	v, ok := r.take(name)
	if !ok {
		r.collector.add(r.at(name), "the field is missing", accept)
	}

	return v, ok
}

// text takes a required string.
func (r *reader) text(name string) string {
	v, ok := r.require(name, "a string")
	if !ok {
		return ""
	}

	return r.asText(name, v)
}

// optionalText takes a string, or fallback where it is missing.
func (r *reader) optionalText(name, fallback string) string {
	v, ok := r.take(name)
	if !ok {
		return fallback
	}

	return r.asText(name, v)
}

func (r *reader) asText(name string, v any) string {
	s, ok := v.(string)
	if !ok {
		r.collector.add(r.at(name), "the value is "+kind(v), "a string")
	}

	return s
}

// choice takes a string out of a closed list, the first of which is the
// default.
func (r *reader) choice(name string, options ...string) string {
	s := r.optionalText(name, options[0])
	for _, o := range options {
		if s == o {
			return s
		}
	}
	r.collector.add(r.at(name), fmt.Sprintf("the value %q is not known", s), fmt.Sprintf("one of %q", options))

	return options[0]
}

// flag takes a boolean, false where it is missing.
func (r *reader) flag(name string) bool {
	v, ok := r.take(name)
	if !ok {
		return false
	}
	b, ok := v.(bool)
	if !ok {
		r.collector.add(r.at(name), "the value is "+kind(v), "true or false")
	}

	return b
}

// number takes a number within [0, high], or fallback where it is missing.
func (r *reader) number(name string, fallback, high float64) float64 {
	v, ok := r.take(name)
	if !ok {
		return fallback
	}
	accept := fmt.Sprintf("a number from 0 to %v", high)
	n, ok := v.(json.Number)
	if !ok {
		r.collector.add(r.at(name), "the value is "+kind(v), accept)

		return fallback
	}
	f, err := n.Float64()
	if err != nil || math.IsNaN(f) || f < 0 || f > high {
		r.collector.add(r.at(name), fmt.Sprintf("the value is %s", n), accept)

		return fallback
	}

	return f
}

// integer takes a whole number within [low, high], or fallback where it is
// missing.
func (r *reader) integer(name string, fallback, low, high int64) int64 {
	v, ok := r.take(name)
	if !ok {
		return fallback
	}
	accept := fmt.Sprintf("a whole number from %d to %d", low, high)
	n, ok := v.(json.Number)
	if !ok {
		r.collector.add(r.at(name), "the value is "+kind(v), accept)

		return fallback
	}
	i, err := strconv.ParseInt(n.String(), 10, 64)
	if err != nil || i < low || i > high {
		r.collector.add(r.at(name), fmt.Sprintf("the value is %s", n), accept)

		return fallback
	}

	return i
}

// millis takes a duration in whole milliseconds.
func (r *reader) millis(name string, fallback, low, high time.Duration) time.Duration {
	ms := r.integer(name, fallback.Milliseconds(), low.Milliseconds(), high.Milliseconds())

	return time.Duration(ms) * time.Millisecond
}

// texts takes an array of strings, empty where it is missing.
func (r *reader) texts(name string) []string {
	var list []string
	r.items(name, func(path string, v any) {
		s, ok := v.(string)
		if !ok {
			r.collector.add(path, "the value is "+kind(v), "a string")
		}
		list = append(list, s)
	})

	return list
}

// items calls f for each element of an array, with its path.
func (r *reader) items(name string, f func(path string, v any)) {
	v, ok := r.take(name)
	if !ok {
		return
	}
	a, ok := v.(array)
	if !ok {
		r.collector.add(r.at(name), "the value is "+kind(v), "an array")

		return
	}
	for i, e := range a {
		f(r.at(name)+"["+strconv.Itoa(i)+"]", e)
	}
}

// objects calls f with a reader for each element of an array of objects.
func (r *reader) objects(name string, f func(*reader)) {
	r.items(name, func(path string, v any) {
		o, ok := newReader(path, v, r.collector)
		if !ok {
			return
		}
		f(o)
		o.close()
	})
}

// object calls f with a reader for a member object. A missing one reads as
// empty, so that its defaults and missing fields are treated alike.
func (r *reader) object(name string, f func(*reader)) {
	v, ok := r.take(name)
	if !ok {
		v = object{}
	}
	o, ok := newReader(r.at(name), v, r.collector)
	if !ok {
		return
	}
	f(o)
	o.close()
}

// kind names the JSON type of a value.
func kind(v any) string {
	switch v.(type) {
	case nil:
		return "null"
	case string:
		return "a string"
	case bool:
		return "a boolean"
	case json.Number:
		return "a number"
	case array:
		return "an array"
	default:
		return "an object"
	}
}
