// Package decoder decodes JSON documents and log records, and the binary reports that
// VMs send each other, into domain types. JSON is decoded strictly: unknown fields and
// duplicate names are faults. A document that cannot be parsed has one fault; the faults
// of any other document are reported together, each with the path of its value.
package decoder

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

const (
	// maxDocumentBytes bounds the size of a document.
	maxDocumentBytes = 256 << 20
	// maxDepth bounds the nesting of a document.
	maxDepth = 32
	// rootPath is the path of the whole document.
	rootPath = "$"
)

// field is one name and value of an object.
type field struct {
	name  string
	value any
}

// object holds the fields of a decoded JSON object in document order; names are unique.
type object []field

// array is a decoded JSON array.
type array []any

// parse decodes data as one document. Its error is manifester.Faults.
func parse(data []byte) (any, error) {
	if len(data) > maxDocumentBytes {
		return nil, singleFault(rootPath, fmt.Sprintf("the document has %d bytes", len(data)), fmt.Sprintf("at most %d bytes", maxDocumentBytes))
	}
	if len(bytes.TrimSpace(data)) == 0 {
		return nil, singleFault(rootPath, "the document is empty", "a JSON object")
	}
	if !utf8.Valid(data) {
		return nil, singleFault(rootPath, "the document is not valid UTF-8", "JSON in UTF-8")
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	v, err := parseValue(d, rootPath, 0)
	if err != nil {
		return nil, err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, singleFault(rootPath, fmt.Sprintf("data follows the document at byte %d", d.InputOffset()), "a single JSON object")
	}

	return v, nil
}

func singleFault(path, reason, accept string) manifester.Faults {
	return manifester.Faults{manifester.NewFault(path, reason, accept)}
}

func parseValue(d *json.Decoder, path string, depth int) (any, error) {
	if depth > maxDepth {
		return nil, singleFault(path, fmt.Sprintf("the document is nested deeper than %d levels", maxDepth), "a document with fewer levels")
	}
	t, err := d.Token()
	if err != nil {
		return nil, syntaxFault(d, path, err)
	}
	switch t {
	case json.Delim('{'):
		return parseObject(d, path, depth)
	case json.Delim('['):
		return parseArray(d, path, depth)
	default:
		return t, nil
	}
}

func syntaxFault(d *json.Decoder, path string, err error) manifester.Faults {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return singleFault(path, fmt.Sprintf("the document ends too early, at byte %d", d.InputOffset()), "a complete JSON document")
	}

	return singleFault(path, fmt.Sprintf("not valid JSON at byte %d: %v", d.InputOffset(), err), "valid JSON")
}

func parseObject(d *json.Decoder, path string, depth int) (any, error) {
	o := object{}
	seen := map[string]bool{}
	for d.More() {
		t, err := d.Token()
		if err != nil {
			return nil, syntaxFault(d, path, err)
		}
		name, ok := t.(string)
		if !ok {
			return nil, singleFault(path, "a field of an object has no name", "valid JSON")
		}
		at := path + "." + name
		if seen[name] {
			return nil, singleFault(at, "the object has two fields of this name", "each name once")
		}
		seen[name] = true
		v, err := parseValue(d, at, depth+1)
		if err != nil {
			return nil, err
		}
		o = append(o, field{
			name:  name,
			value: v,
		})
	}
	if _, err := d.Token(); err != nil {
		return nil, syntaxFault(d, path, err)
	}

	return o, nil
}

func parseArray(d *json.Decoder, path string, depth int) (any, error) {
	a := array{}
	for d.More() {
		v, err := parseValue(d, path+"["+strconv.Itoa(len(a))+"]", depth+1)
		if err != nil {
			return nil, err
		}
		a = append(a, v)
	}
	if _, err := d.Token(); err != nil {
		return nil, syntaxFault(d, path, err)
	}

	return a, nil
}
