package forwarder

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
)

const (
	// timeoutField carries the time left in whole milliseconds.
	timeoutField = "Lagoonkeel-Timeout-Ms"
	// stateField is the field by which an upstream says that it did not run a
	// request.
	stateField      = "Upstream-State"
	stateShed       = "shed"
	stateDraining   = "draining"
	connectionField = "Connection"
)

// fill builds the upstream request. The path is the one that was decided on.
func fill(req *fasthttp.Request, host string, r *handler.Request, left time.Duration) {
	uri := req.URI()
	uri.SetScheme("http")
	uri.SetHost(host)
	uri.SetPath(r.Path())
	uri.SetQueryString(r.Query())
	req.Header.SetMethod(r.Method())
	req.Header.SetNoDefaultContentType(true)
	named := r.Fields().Get(connectionField)
	for _, f := range r.Fields().All() {
		if !hopByHop(f.Name(), named) {
			req.Header.Add(f.Name(), f.Value())
		}
	}
	req.Header.Set(timeoutField, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	req.SetBodyRaw(r.Body())
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
