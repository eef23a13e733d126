package forwarder_test

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
)

// nameBytes are the bytes that a field's name may have.
const nameBytes = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"

// triedBytes are the bytes that are tried: the control characters, the space, the delimiters,
// some beyond ASCII and a few of those that a name may have.
const triedBytes = "\x00\x01\x02\x03\x04\x05\x06\x07\x08\t\n\x0b\x0c\r\x0e\x0f\x10\x11\x12\x13\x14\x15\x16\x17\x18\x19\x1a\x1b\x1c\x1d\x1e\x1f\x7f" +
	" \"(),/:;<=>?@[\\]{}" + "\x80\xa0\xff" + "-!x0~"

// brokenName is a response with a byte in the name of a field, where its text has a question
// mark.
type brokenName struct {
	name string
	text string
}

var brokenNames = []brokenName{
	{"at the start of a name", "HTTP/1.1 200 OK\r\nSignature: s\r\n?X-A: v\r\nContent-Length: 2\r\n\r\nok"},
	{"within a name", "HTTP/1.1 200 OK\r\nSignature: s\r\nX?A: v\r\nContent-Length: 2\r\n\r\nok"},
	{"at the end of a name", "HTTP/1.1 200 OK\r\nSignature: s\r\nX-A?: v\r\nContent-Length: 2\r\n\r\nok"},
	{"in the first name", "HTTP/1.1 200 OK\r\nX?A: v\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok"},
	{"in the last name", "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 2\r\nX?A: v\r\n\r\nok"},
	{"at the start of the length, of a body cut off", "HTTP/1.1 200 OK\r\nSignature: s\r\n?Content-Length: 4\r\n\r\nok"},
	{"within the length, of a body cut off", "HTTP/1.1 200 OK\r\nSignature: s\r\nContent?Length: 4\r\n\r\nok"},
	{"at the end of the length", "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length?: 2\r\n\r\nok"},
	{"within the coding, of chunks", "HTTP/1.1 200 OK\r\nSignature: s\r\nTransfer?Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
	{"at the end of the coding, of chunks", "HTTP/1.1 200 OK\r\nSignature: s\r\nTransfer-Encoding?: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
	{"in an interim response", "HTTP/1.1 103 Early\r\nX?A: v\r\n\r\nHTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok"},
}

// TestFieldNames compares, for each byte in the name of a field, what becomes of the response,
// with the golden file. It guards against a response whose head is not valid HTTP and that
// reaches the caller with the broken line, or with another body than its target's.
func TestFieldNames(t *testing.T) {
	var out bytes.Buffer
	g := startRawTarget(t)
	for _, c := range brokenNames {
		allowed, others := map[string]string{}, map[string]string{}
		for _, b := range strings.Split(triedBytes, "") {
			result := describeFields(g.attempt(strings.Replace(c.text, "?", b, 1)))
			if strings.Contains(nameBytes, b) {
				allowed[result] += b
			} else {
				others[result] += b
			}
		}
		fmt.Fprintf(&out, "%s:\n  an allowed byte: %s\n  another byte: %s\n", c.name, describeBytes(allowed), describeBytes(others))
	}
	goldie.New(t).Assert(t, "field_names", out.Bytes())
}

// describeBytes lists the results, each with the bytes that lead to it, or their number.
func describeBytes(results map[string]string) string {
	const few = 8
	var list []string
	for _, result := range slices.Sorted(maps.Keys(results)) {
		if found := results[result]; len(found) > few {
			list = append(list, fmt.Sprintf("%s (%d bytes)", result, len(found)))
		} else {
			list = append(list, fmt.Sprintf("%s (%q)", result, found))
		}
	}

	return strings.Join(list, "; ")
}

// describeFields returns the fault of the attempt, or in what its response differs from the
// one that the target sent.
func describeFields(a *handler.Attempt) string {
	if a.Err() != nil {
		return string(a.Fault())
	}
	var changes []string
	if string(a.Response().Body()) != "ok" {
		changes = append(changes, "another body")
	}
	if a.Response().Fields().Get("Signature") != "s" {
		changes = append(changes, "another signature")
	}
	for _, f := range a.Response().Fields().All() {
		if strings.Trim(f.Name(), nameBytes) != "" {
			changes = append(changes, "a broken name")
		}
	}
	if len(changes) == 0 {
		return "whole"
	}

	return strings.Join(changes, ", ")
}

// TestFieldLines compares the results of responses with field lines that are not valid, or
// continue the line before, with the golden file.
func TestFieldLines(t *testing.T) {
	var out bytes.Buffer
	g := startRawTarget(t)
	for _, line := range []string{
		"X-A: v",
		"X-A:v",
		"X-A:",
		"X-A: \t v \t",
		"X-A: R\xe9ponse",
		"X-A: v: w",
		"X-A",
		": v",
		"X-A: a\x00b",
		"X-A: a\rb",
		"X-A: a\x7fb",
		"X-A: a\r\n b",
		"X-A: a\r\n\tb",
		"X-A: a\nX-B: b",
		"\nX-A: a",
		"\r\r\nX-A: a",
		" \r\nX-A: a",
	} {
		for _, text := range []string{
			"HTTP/1.1 200 OK\r\nSignature: s\r\n" + line + "\r\nContent-Length: 2\r\n\r\nok",
			"HTTP/1.1 200 OK\r\n" + line + "\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok",
		} {
			fmt.Fprintf(&out, "%q: %s\n", text, describeFields(g.attempt(text)))
		}
	}
	goldie.New(t).Assert(t, "field_lines", out.Bytes())
}
