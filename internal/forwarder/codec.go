package forwarder

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

const (
	// stateField is the header field by which a target reports that it did not run
	// a request.
	stateField      = "Upstream-State"
	stateShed       = "shed"
	stateDraining   = "draining"
	connectionField = "Connection"
	hostField       = "Host"
)

// buildRequest builds the request to the target. Its path is the one by which the
// route was chosen.
func buildRequest(req *fasthttp.Request, d *handler.Dialect, target *manifester.Target, r *handler.Request, left time.Duration) {
	if d.Verbatim() {
		setVerbatimURI(req, r)
	} else {
		setNormalizedURI(req, target.Address(), r)
	}
	req.Header.SetMethod(r.Method())
	req.Header.SetNoDefaultContentType(true)
	listed := r.Fields().Get(connectionField)
	for _, f := range r.Fields().All() {
		if !isHopByHop(f.Name(), listed) {
			req.Header.Add(f.Name(), f.Value())
		}
	}
	req.Header.Set(d.Timeout(), strconv.FormatInt(max(1, left.Milliseconds()), 10))
	if d.ExpectTarget() != "" {
		req.Header.Set(d.ExpectTarget(), target.Name())
	}
	req.SetBodyRaw(r.Body())
}

// setNormalizedURI sets the normalized path, the query, and the target's address
// as the host.
func setNormalizedURI(req *fasthttp.Request, host string, r *handler.Request) {
	uri := req.URI()
	uri.SetScheme("http")
	uri.SetHost(host)
	uri.SetPath(r.Path())
	uri.SetQueryString(r.Query())
}

// setVerbatimURI sets the host, path and query as the caller sent them.
func setVerbatimURI(req *fasthttp.Request, r *handler.Request) {
	uri := r.Path()
	if r.Query() != "" {
		uri += "?" + r.Query()
	}
	req.Header.SetRequestURI(uri)
	req.Header.SetHost(r.Fields().Get(hostField))
}

// hasOtherRequestID reports whether the response carries the id of another
// request. A target repeats the id of the request to which it responds.
func hasOtherRequestID(d *handler.Dialect, r *handler.Request, resp *fasthttp.Response) bool {
	if d.RequestID() == "" {
		return false
	}
	id := r.Fields().Get(d.RequestID())
	echoed := resp.Header.Peek(d.RequestID())

	return id != "" && len(echoed) > 0 && string(echoed) != id
}

// lacksSignature reports whether a 2xx response lacks the field that shows that it
// comes from a target.
func lacksSignature(d *handler.Dialect, resp *fasthttp.Response) bool {
	s := resp.StatusCode()

	return d.Signature() != "" && s >= fasthttp.StatusOK && s < fasthttp.StatusMultipleChoices && len(resp.Header.Peek(d.Signature())) == 0
}

// copyResponse copies a complete response, without hop-by-hop fields and
// handler.OutcomeField, out of the buffers that its connection reuses.
func copyResponse(resp *fasthttp.Response) *handler.Response {
	a := handler.NewResponse(resp.StatusCode(), append([]byte(nil), resp.Body()...))
	listed := string(resp.Header.Peek(connectionField))
	for k, v := range resp.Header.All() {
		name := string(k)
		if !isHopByHop(name, listed) && !strings.EqualFold(name, handler.OutcomeField) {
			a.Fields().Add(name, string(v))
		}
	}

	return a
}

// isHopByHop reports whether a field must not be forwarded: one that applies to a
// single connection or is set anew for each, or one in listed, the value of the
// Connection field.
func isHopByHop(name, listed string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection",
		"te", "trailer", "transfer-encoding", "upgrade", "content-length", "host", "expect":
		return true
	}
	for n := range strings.SplitSeq(listed, ",") {
		if strings.EqualFold(strings.TrimSpace(n), name) {
			return true
		}
	}

	return false
}
