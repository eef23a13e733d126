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
		g := startRawTargetWith(t, handler.NewDialect(handler.DialectSpec{
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

// TestRepeatedIdentity compares the results of responses that repeat the field with the id of
// their request or with their signature, with the golden file. A second value is that of
// another response.
func TestRepeatedIdentity(t *testing.T) {
	var out bytes.Buffer
	g := startRawTargetWith(t, handler.NewDialect(handler.DialectSpec{
		Timeout:   "Timeout-Ms",
		Signature: "Signature",
		RequestID: "Token",
	}))
	for _, fields := range []string{
		"Token: one\r\nSignature: s\r\n",
		"Signature: s\r\n",
		"Token: one\r\nToken: one\r\nSignature: s\r\nSignature: s\r\n",
		"Token: one\r\nToken: two\r\nSignature: s\r\n",
		"Token: two\r\nToken: one\r\nSignature: s\r\n",
		"token: one\r\ntOKEN: two\r\nSignature: s\r\n",
		"Token: one, two\r\nSignature: s\r\n",
		"Token:\r\nToken: two\r\nSignature: s\r\n",
		"Token: one\r\nSignature: s\r\nSignature: t\r\n",
		"Token: one\r\nSignature:\r\nSignature: t\r\n",
		"Token: one\r\nSignature:\r\n",
	} {
		for _, status := range []string{"200 OK", "500 Failed"} {
			text := "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: 2\r\n\r\nok"
			fmt.Fprintf(&out, "%q: %s\n", text, describe(g.attempt(text)))
		}
	}
	goldie.New(t).Assert(t, "repeated_identity", out.Bytes())
}
