package forwarder_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// TestFraming compares the results of responses whose head states the end of their body in a
// way that HTTP/1.1 does not allow, or that another parser may read differently, with the
// golden file.
func TestFraming(t *testing.T) {
	const chunks = "2\r\nok\r\n0\r\n\r\n"
	var out bytes.Buffer
	g := startRawTarget(t)
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
		"HTTP/1.1 200 OK\r\nSignature: s\r\nTransfer-Encoding: Chunked\r\n\r\n" + chunks,
		"HTTP/1.1 200 OK\r\nSignature: s\r\nTransfer-Encoding: chunked, chunked\r\n\r\n" + chunks,
		"HTTP/1.1 200 OK\r\nSignature: s\r\nTransfer-Encoding: identity\r\n\r\n" + chunks,
		"HTTP/1.1 200 OK\r\nSignature: s\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
		"HTTP/1.0 200 OK\r\nSignature: s\r\n\r\nok",
		"HTTP/1.0 200 OK\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.0 200 OK\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
		"HTTP/1.0 200 OK\r\nSignature: s\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
		"HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
		"HTTP/1.1 200 OK\r\nSignature: s\r\ntransfer-encoding: chunked\r\ncontent-length: 12\r\n\r\n" + chunks,
		"HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 2, 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: +2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: -2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 0x2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 18446744073709551618\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length:\r\n\r\nok",
	} {
		fmt.Fprintf(&out, "%q: %s\n", text, describe(g.attempt(text)))
	}
	goldie.New(t).Assert(t, "framing", out.Bytes())
}

// TestInterimFraming compares the results of interim responses that state a body, with the
// golden file. They have none: the bytes behind their head may be a body that looks like a
// response.
func TestInterimFraming(t *testing.T) {
	var out bytes.Buffer
	g := startRawTarget(t)
	for _, head := range []string{
		"HTTP/1.1 100 Continue\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nContent-Length: 54\r\n\r\n",
		"HTTP/1.1 100 Continue\r\nSignature: s\r\nContent-Length: 54\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		fmt.Fprintf(&out, "%q: %s\n", head, describe(g.attempt(head+"HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok")))
	}
	goldie.New(t).Assert(t, "interim_framing", out.Bytes())
}

// TestTrailer compares the results of chunked responses by the lines behind their last chunk,
// with the golden file.
func TestTrailer(t *testing.T) {
	var out bytes.Buffer
	g := startRawTarget(t)
	for _, trailer := range []string{
		"\r\n",
		"X-A: v\r\n\r\n",
		"X-A:\r\nX-B: w\r\n\r\n",
		"Content-Length: 5\r\n\r\n",
		"X A: v\r\n\r\n",
		"X-A : v\r\n\r\n",
		" X-A: v\r\n\r\n",
		"\tX-A: v\r\n\r\n",
		"X-A: v\r\n w\r\n\r\n",
		"X\x00A: v\r\n\r\n",
		"X-A: v\x00\r\n\r\n",
		"X-A: v\nX-B: w\r\n\r\n",
		"\nX-A: v\r\n\r\n",
		"X-A: v\n\r\n",
		"\n",
		"X-A\r\n\r\n",
		": v\r\n\r\n",
		"X-A: v\r\n",
		"X-A: v",
		"",
	} {
		const head = "HTTP/1.1 200 OK\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
		fmt.Fprintf(&out, "%q: %s\n", trailer, describe(g.attempt(head+trailer)))
	}
	goldie.New(t).Assert(t, "trailer", out.Bytes())
}

// TestNoContentFraming compares the results of responses whose status has no body and whose
// head states one, with the golden file. The head of a 304 may state that of a 200.
func TestNoContentFraming(t *testing.T) {
	var out bytes.Buffer
	g := startRawTarget(t)
	for _, text := range []string{
		"HTTP/1.1 204 No Content\r\nSignature: s\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nSignature: s\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 204 No Content\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 304 Not Modified\r\nSignature: s\r\nContent-Length: 2\r\n\r\n",
	} {
		fmt.Fprintf(&out, "%q: %s\n", text, describe(g.attempt(text)))
	}
	goldie.New(t).Assert(t, "no_content_framing", out.Bytes())
}
