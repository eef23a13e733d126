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

// reader reads the fields of one object. Fields that were never requested are reported
// as unknown by close.
type reader struct {
	path      string
	fields    object
	requested map[string]bool
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
		c.add(path, "the value is "+jsonType(v), "an object")

		return nil, false
	}

	return &reader{
		path:      path,
		fields:    o,
		requested: map[string]bool{},
		collector: c,
	}, true
}

// close reports every field that was not requested.
func (r *reader) close() {
	for _, m := range r.fields {
		if !r.requested[m.name] {
			r.collector.add(r.pathOf(m.name), "the field is not known", "one of the documented fields")
		}
	}
}

func (r *reader) pathOf(name string) string {
	return r.path + "." + name
}

func (r *reader) get(name string) (any, bool) {
	r.requested[name] = true
	for _, m := range r.fields {
		if m.name == name {
			return m.value, true
		}
	}

	return nil, false
}

func (r *reader) require(name, accept string) (any, bool) {
	v, ok := r.get(name)
	if !ok {
		r.collector.add(r.pathOf(name), "the field is missing", accept)
	}

	return v, ok
}

// text reads a required string.
func (r *reader) text(name string) string {
	v, ok := r.require(name, "a string")
	if !ok {
		return ""
	}

	return r.asText(name, v)
}

// optionalText reads a string, or returns fallback if the field is missing.
func (r *reader) optionalText(name, fallback string) string {
	v, ok := r.get(name)
	if !ok {
		return fallback
	}

	return r.asText(name, v)
}

func (r *reader) asText(name string, v any) string {
	s, ok := v.(string)
	if !ok {
		r.collector.add(r.pathOf(name), "the value is "+jsonType(v), "a string")
	}

	return s
}

// choice reads a string that must be one of the options. The first option is the
// default.
func (r *reader) choice(name string, options ...string) string {
	s := r.optionalText(name, options[0])
	for _, o := range options {
		if s == o {
			return s
		}
	}
	r.collector.add(r.pathOf(name), fmt.Sprintf("the value %q is not known", s), fmt.Sprintf("one of %q", options))

	return options[0]
}

// boolean reads a boolean, or returns false if the field is missing.
func (r *reader) boolean(name string) bool {
	v, ok := r.get(name)
	if !ok {
		return false
	}
	b, ok := v.(bool)
	if !ok {
		r.collector.add(r.pathOf(name), "the value is "+jsonType(v), "true or false")
	}

	return b
}

// number reads a number within [0, high], or returns fallback if the field is missing or
// invalid.
func (r *reader) number(name string, fallback, high float64) float64 {
	v, ok := r.get(name)
	if !ok {
		return fallback
	}
	accept := fmt.Sprintf("a number from 0 to %v", high)
	n, ok := v.(json.Number)
	if !ok {
		r.collector.add(r.pathOf(name), "the value is "+jsonType(v), accept)

		return fallback
	}
	f, err := n.Float64()
	if err != nil || math.IsNaN(f) || f < 0 || f > high {
		r.collector.add(r.pathOf(name), fmt.Sprintf("the value is %s", n), accept)

		return fallback
	}

	return f
}

// integer reads a whole number within [low, high], or returns fallback if the field is
// missing or invalid.
func (r *reader) integer(name string, fallback, low, high int64) int64 {
	v, ok := r.get(name)
	if !ok {
		return fallback
	}
	accept := fmt.Sprintf("a whole number from %d to %d", low, high)
	n, ok := v.(json.Number)
	if !ok {
		r.collector.add(r.pathOf(name), "the value is "+jsonType(v), accept)

		return fallback
	}
	i, err := strconv.ParseInt(n.String(), 10, 64)
	if err != nil || i < low || i > high {
		r.collector.add(r.pathOf(name), fmt.Sprintf("the value is %s", n), accept)

		return fallback
	}

	return i
}

// duration reads a duration in whole milliseconds within [low, high], or returns fallback
// if the field is missing or invalid.
func (r *reader) duration(name string, fallback, low, high time.Duration) time.Duration {
	ms := r.integer(name, fallback.Milliseconds(), low.Milliseconds(), high.Milliseconds())

	return time.Duration(ms) * time.Millisecond
}

// texts reads an array of strings, which is empty if the field is missing.
func (r *reader) texts(name string) []string {
	var list []string
	r.items(name, func(path string, v any) {
		s, ok := v.(string)
		if !ok {
			r.collector.add(path, "the value is "+jsonType(v), "a string")
		}
		list = append(list, s)
	})

	return list
}

// items calls f for each element of an optional array, with the path of the element.
func (r *reader) items(name string, f func(path string, v any)) {
	v, ok := r.get(name)
	if !ok {
		return
	}
	a, ok := v.(array)
	if !ok {
		r.collector.add(r.pathOf(name), "the value is "+jsonType(v), "an array")

		return
	}
	for i, e := range a {
		f(r.pathOf(name)+"["+strconv.Itoa(i)+"]", e)
	}
}

// objects calls f with a reader of each element of an optional array of objects.
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

// object calls f with a reader of the object in the field. A missing object is read as
// an empty one, so that its defaults apply and its required fields are reported as
// missing.
func (r *reader) object(name string, f func(*reader)) {
	v, ok := r.get(name)
	if !ok {
		v = object{}
	}
	o, ok := newReader(r.pathOf(name), v, r.collector)
	if !ok {
		return
	}
	f(o)
	o.close()
}

// jsonType returns the JSON type of a value, for the text of a fault.
func jsonType(v any) string {
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
