package forwarder

import (
	"bytes"
	"cmp"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
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
	// idBase is the base in which the ids of attempts are written.
	idBase = 16
	// maxRetryAfter bounds the time for which a target gets no requests because it
	// asked for none.
	maxRetryAfter = 5 * time.Minute
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
	var listed []string
	for _, f := range r.Fields().All() {
		if strings.EqualFold(f.Name(), connectionField) {
			listed = append(listed, f.Value())
		}
	}
	for _, f := range r.Fields().All() {
		if !isHopByHop(d, f.Name(), listed) {
			req.Header.Add(f.Name(), f.Value())
		}
	}
	req.Header.Set(d.Timeout(), strconv.FormatInt(max(1, left.Milliseconds()), 10))
	if d.ExpectTarget() != "" {
		req.Header.Set(d.ExpectTarget(), target.Name())
	}
	if d.AttemptID() != "" {
		req.Header.Set(d.AttemptID(), strconv.FormatUint(rand.Uint64(), idBase)) //nolint:gosec // Tells attempts apart; not a secret.
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

// isForeign reports whether the response is not that of the target to the request.
func isForeign(d *handler.Dialect, req *fasthttp.Request, resp *fasthttp.Response) bool {
	return hasOtherID(d, req, resp) || lacksSignature(d, resp) || hasTwoSignatures(d, resp) || isEncoded(d, resp)
}

// hasOtherID reports whether the response carries the id of another request or of
// another attempt. A target repeats the ids of the request to which it responds.
func hasOtherID(d *handler.Dialect, req *fasthttp.Request, resp *fasthttp.Response) bool {
	return differs(d.RequestID(), req, resp) || differs(d.AttemptID(), req, resp)
}

// differs reports whether the request has the field, and a value of it in the response is
// another one.
func differs(name string, req *fasthttp.Request, resp *fasthttp.Response) bool {
	if name == "" {
		return false
	}
	sent := req.Header.Peek(name)

	return len(sent) > 0 && slices.ContainsFunc(resp.Header.PeekAll(name), func(echoed []byte) bool {
		return len(echoed) > 0 && !bytes.Equal(sent, echoed)
	})
}

// hasTwoSignatures reports whether the response has signatures that differ.
func hasTwoSignatures(d *handler.Dialect, resp *fasthttp.Response) bool {
	if d.Signature() == "" {
		return false
	}
	list := resp.Header.PeekAll(d.Signature())

	return slices.ContainsFunc(list, func(s []byte) bool { return !bytes.Equal(s, list[0]) })
}

// idField returns the name of the field by which a response is matched to its request, or
// "".
func idField(d *handler.Dialect) string { return cmp.Or(d.AttemptID(), d.RequestID()) }

// recognizable reports whether a second copy of the response would be recognized by its id
// as the response to another request. Refusals often have none.
func recognizable(d *handler.Dialect, req *fasthttp.Request, resp *fasthttp.Response) bool {
	name := idField(d)

	return name == "" || len(req.Header.Peek(name)) > 0 && len(resp.Header.Peek(name)) > 0
}

// lacksSignature reports whether a 2xx response lacks the field that shows that it
// comes from a target.
func lacksSignature(d *handler.Dialect, resp *fasthttp.Response) bool {
	return d.Signature() != "" && isSuccess(resp) && len(resp.Header.Peek(d.Signature())) == 0
}

// isEncoded reports whether a 2xx response has a content coding where the bodies of targets
// have none.
func isEncoded(d *handler.Dialect, resp *fasthttp.Response) bool {
	return d.Unencoded() && isSuccess(resp) && len(resp.Header.ContentEncoding()) > 0
}

// isSuccess reports whether the status is 2xx.
func isSuccess(resp *fasthttp.Response) bool {
	s := resp.StatusCode()

	return s >= fasthttp.StatusOK && s < fasthttp.StatusMultipleChoices
}

// isLeaving reports whether the target states that it is about to stop.
func isLeaving(d *handler.Dialect, resp *fasthttp.Response) bool {
	return d.Leaving() != "" && string(resp.Header.Peek(d.Leaving())) == "1"
}

// retryAfter returns for how long a target that refuses requests with 503 wants none;
// 0 if it does not state a time, and maxRetryAfter at most. The field holds seconds,
// which may have a fraction, or a date.
func retryAfter(d *handler.Dialect, resp *fasthttp.Response, now time.Time) time.Duration {
	if d.RetryAfter() == "" || resp.StatusCode() != fasthttp.StatusServiceUnavailable {
		return 0
	}
	text := strings.TrimSpace(string(resp.Header.Peek(d.RetryAfter())))
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		date, err := http.ParseTime(text)
		if err != nil {
			return 0
		}
		seconds = date.Sub(now).Seconds()
	}
	if math.IsNaN(seconds) || seconds <= 0 {
		return 0
	}

	return time.Duration(math.Min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// copyResponse returns a complete response with the body and copies of the fields,
// without hop-by-hop fields, handler.OutcomeField and the id of the attempt.
func copyResponse(d *handler.Dialect, resp *fasthttp.Response, body []byte) *handler.Response {
	a := handler.NewResponse(resp.StatusCode(), body)
	values := resp.Header.PeekAll(connectionField)
	listed := make([]string, 0, len(values))
	for _, v := range values {
		listed = append(listed, string(v))
	}
	for k, v := range resp.Header.All() {
		name := string(k)
		if !isHopByHop(d, name, listed) && !strings.EqualFold(name, handler.OutcomeField) && !strings.EqualFold(name, d.AttemptID()) {
			a.Fields().Add(name, string(v))
		}
	}

	return a
}

// isHopByHop reports whether a field must not be forwarded: one that applies to a
// single connection or is set anew for each, or one in listed, the values of the
// Connection fields. What the fleet and targets tell each other cannot be listed.
func isHopByHop(d *handler.Dialect, name string, listed []string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection",
		"te", "trailer", "transfer-encoding", "upgrade", "content-length", "host", "expect":
		return true
	}
	if d.Exchanges(name) {
		return false
	}
	for n := range strings.SplitSeq(strings.Join(listed, ","), ",") {
		if strings.EqualFold(strings.TrimSpace(n), name) {
			return true
		}
	}

	return false
}
