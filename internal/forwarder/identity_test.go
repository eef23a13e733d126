package forwarder_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
)

// TestContentCoding compares the results of responses with a content coding with the golden
// file, for targets that may use one and for those whose bodies have none.
func TestContentCoding(t *testing.T) {
	var out bytes.Buffer
	for _, unencoded := range []bool{false, true} {
		g := startRespondentWith(t, handler.NewDialect(handler.DialectSpec{
			Timeout:   "Timeout-Ms",
			Signature: "Signature",
			Unencoded: unencoded,
		}))
		for _, text := range []string{
			"HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok",
			"HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
			"HTTP/1.1 200 OK\r\nSignature: s\r\ncontent-encoding: br\r\nContent-Length: 2\r\n\r\nok",
			"HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Encoding: identity\r\nContent-Length: 2\r\n\r\nok",
			"HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Encoding:\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
			"HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Encoding:\r\nContent-Length: 2\r\n\r\nok",
			"HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Language: de\r\nContent-Length: 2\r\n\r\nok",
			"HTTP/1.1 500 Failed\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nno",
		} {
			fmt.Fprintf(&out, "unencoded=%v, %q: %s\n", unencoded, text, describe(g.attempt(text)))
		}
	}
	goldie.New(t).Assert(t, "content_coding", out.Bytes())
}
