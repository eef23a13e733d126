package handler

import (
	"net"
	"strings"
)

// hostField names the header field with the host that a request is for.
const hostField = "Host"

// Field is one header field.
type Field struct {
	name  string
	value string
}

// Name returns the field's name in the case in which it was received or added.
func (f Field) Name() string { return f.name }

// Value returns the field's value.
func (f Field) Value() string { return f.value }

// Fields is an ordered list of header fields. Names are compared without regard
// to case.
type Fields struct {
	list []Field
}

// Add appends a field.
func (f *Fields) Add(name, value string) {
	f.list = append(f.list, Field{
		name:  name,
		value: value,
	})
}

// Set replaces all fields with the name by one, which it appends.
func (f *Fields) Set(name, value string) {
	f.Remove(name)
	f.Add(name, value)
}

// Get returns the value of the first field with the name, or "".
func (f *Fields) Get(name string) string {
	for i := range f.list {
		if strings.EqualFold(f.list[i].name, name) {
			return f.list[i].value
		}
	}

	return ""
}

// Count returns how many fields have the name.
func (f *Fields) Count(name string) int {
	n := 0
	for i := range f.list {
		if strings.EqualFold(f.list[i].name, name) {
			n++
		}
	}

	return n
}

// Remove deletes every field with the name.
func (f *Fields) Remove(name string) {
	f.RemoveWhere(func(d Field) bool {
		return strings.EqualFold(d.name, name)
	})
}

// RemoveWhere deletes every field for which drop returns true.
func (f *Fields) RemoveWhere(drop func(Field) bool) {
	kept := f.list[:0]
	for _, d := range f.list {
		if !drop(d) {
			kept = append(kept, d)
		}
	}
	f.list = kept
}

// All returns the fields in order. The caller must not change them.
func (f *Fields) All() []Field {
	return f.list
}

// Request is a caller's request that has been read completely.
type Request struct {
	method string
	// path is decoded and starts with "/"; with Dialect.Verbatim, it is the path as
	// received.
	path string
	// query is the raw query without "?".
	query  string
	fields Fields
	body   []byte
}

// NewRequest returns a request without header fields.
func NewRequest(method, path, query string, body []byte) *Request {
	return &Request{
		method: method,
		path:   path,
		query:  query,
		body:   body,
	}
}

// Method returns the request method.
func (r *Request) Method() string { return r.method }

// Path returns the path.
func (r *Request) Path() string { return r.path }

// Query returns the raw query.
func (r *Request) Query() string { return r.query }

// Host returns the value of the Host field without its port.
func (r *Request) Host() string {
	host := r.fields.Get(hostField)
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}

	return host
}

// Fields returns the header fields, which the caller may change.
func (r *Request) Fields() *Fields { return &r.fields }

// Body returns the body.
func (r *Request) Body() []byte { return r.body }

// Clone returns a copy whose header fields may be changed; the body is shared.
func (r *Request) Clone() *Request {
	c := *r
	c.fields.list = append([]Field(nil), r.fields.list...)

	return &c
}

// Response is a complete response.
type Response struct {
	status int
	fields Fields
	body   []byte
}

// NewResponse returns a response without header fields.
func NewResponse(status int, body []byte) *Response {
	return &Response{
		status: status,
		body:   body,
	}
}

// Status returns the HTTP status.
func (r *Response) Status() int { return r.status }

// Fields returns the header fields, which the caller may change.
func (r *Response) Fields() *Fields { return &r.fields }

// Body returns the body.
func (r *Response) Body() []byte { return r.body }

// Clone returns a copy whose header fields may be changed; the body is shared.
func (r *Response) Clone() *Response {
	c := NewResponse(r.status, r.body)
	c.fields.list = append([]Field(nil), r.fields.list...)

	return c
}
