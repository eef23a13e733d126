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
	// stateField is the field by which an upstream says that it did not run a
	// request.
	stateField      = "Upstream-State"
	stateShed       = "shed"
	stateDraining   = "draining"
	connectionField = "Connection"
	hostField       = "Host"
)

// fill builds the upstream request. The path is the one that was decided on.
func fill(req *fasthttp.Request, n *handler.Names, target *manifester.Target, r *handler.Request, left time.Duration) {
	if n.Verbatim() {
		addressVerbatim(req, r)
	} else {
		addressNormalized(req, target.Address(), r)
	}
	req.Header.SetMethod(r.Method())
	req.Header.SetNoDefaultContentType(true)
	named := r.Fields().Get(connectionField)
	for _, f := range r.Fields().All() {
		if !hopByHop(f.Name(), named) {
			req.Header.Add(f.Name(), f.Value())
		}
	}
	req.Header.Set(n.Timeout(), strconv.FormatInt(max(1, left.Milliseconds()), 10))
	if n.ExpectTarget() != "" {
		req.Header.Set(n.ExpectTarget(), target.Name())
	}
	req.SetBodyRaw(r.Body())
}

// addressNormalized sends the request to the target's own host.
func addressNormalized(req *fasthttp.Request, host string, r *handler.Request) {
	uri := req.URI()
	uri.SetScheme("http")
	uri.SetHost(host)
	uri.SetPath(r.Path())
	uri.SetQueryString(r.Query())
}

// addressVerbatim passes the caller's host, path and query on as they were
// received.
func addressVerbatim(req *fasthttp.Request, r *handler.Request) {
	uri := r.Path()
	if r.Query() != "" {
		uri += "?" + r.Query()
	}
	req.Header.SetRequestURI(uri)
	req.Header.SetHost(r.Fields().Get(hostField))
}

// foreign reports whether the answer belongs to another request: a target
// repeats the id of the request that it answers.
func foreign(n *handler.Names, r *handler.Request, resp *fasthttp.Response) bool {
	if n.RequestID() == "" {
		return false
	}
	id := r.Fields().Get(n.RequestID())
	echoed := resp.Header.Peek(n.RequestID())

	return id != "" && len(echoed) > 0 && string(echoed) != id
}

// unsigned reports a success that no target marked as its own.
func unsigned(n *handler.Names, resp *fasthttp.Response) bool {
	s := resp.StatusCode()

	return n.Signature() != "" && s >= fasthttp.StatusOK && s < fasthttp.StatusMultipleChoices && len(resp.Header.Peek(n.Signature())) == 0
}

// answer copies a whole answer out of the buffers of its connection.
func answer(resp *fasthttp.Response) *handler.Response {
	a := handler.NewResponse(resp.StatusCode(), append([]byte(nil), resp.Body()...))
	named := string(resp.Header.Peek(connectionField))
	for k, v := range resp.Header.All() {
		name := string(k)
		if !hopByHop(name, named) && !strings.EqualFold(name, handler.OutcomeField) {
			a.Fields().Add(name, string(v))
		}
	}

	return a
}

// hopByHop reports whether a field belongs to one connection only: one of the
// known ones, or one that the Connection field names.
func hopByHop(name, named string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection",
		"te", "trailer", "transfer-encoding", "upgrade", "content-length", "host", "expect":
		return true
	}
	for n := range strings.SplitSeq(named, ",") {
		if strings.EqualFold(strings.TrimSpace(n), name) {
			return true
		}
	}

	return false
}
