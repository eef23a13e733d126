package listener

import (
	"bytes"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
)

// checkFraming refuses requests that the parser accepts but that another parser
// might interpret differently. The connection must be closed after such a refusal.
func checkFraming(r *fasthttp.Request) error {
	raw := r.Header.RawHeaders()
	if hasFoldedField(raw) {
		return handler.NewRefusal(handler.CodeBadRequest, "a header field is folded over several lines; send it on one line")
	}
	if hasField(raw, "transfer-encoding") && hasField(raw, "content-length") {
		return handler.NewRefusal(handler.CodeBadRequest, "the request has a length and a transfer coding; send one of them")
	}
	if strings.ContainsFunc(string(r.URI().Path()), isControl) {
		return handler.NewRefusal(handler.CodeBadRequest, "the path holds a control character")
	}

	return nil
}

// hasFoldedField reports whether a line of the header continues the one before it.
func hasFoldedField(raw []byte) bool {
	return bytes.Contains(raw, []byte("\n ")) || bytes.Contains(raw, []byte("\n\t"))
}

// hasField reports whether the raw header has a field with the name, in any case.
func hasField(raw []byte, name string) bool {
	for len(raw) > 0 {
		line, rest, _ := bytes.Cut(raw, []byte("\n"))
		field, _, ok := bytes.Cut(line, []byte(":"))
		if ok && len(field) == len(name) && strings.EqualFold(string(field), name) {
			return true
		}
		raw = rest
	}

	return false
}

func isControl(r rune) bool {
	const (
		space = 0x20
		del   = 0x7f
	)

	return r < space || r == del
}
