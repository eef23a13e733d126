package tracer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/configurer"
	"github.com/lagoonkeel/lagoonkeel/internal/filterer"
	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/tracer"
)

const (
	callerTrace = "0af7651916cd43dd8448eb211c80319c"
	callerSpan  = "b7ad6b7169203331"
)

// refusingFilter refuses each request and records the trace context that would be sent
// to an upstream.
type refusingFilter struct {
	sent string
}

func (r *refusingFilter) Name() string { return "refusing" }

func (r *refusingFilter) Handle(_ context.Context, x *handler.Exchange, _ handler.Handler) error {
	r.sent = x.Request().Fields().Get("traceparent")

	return handler.NewRefusal(handler.CodeNoTarget, "no target")
}

// run sends a request with a trace context through the tracing filters and returns the
// trace context that would be sent to an upstream.
func run(t *testing.T, s configurer.Tracing) (sent string) {
	t.Helper()
	tr, err := tracer.New(context.Background(), s, "vm-1")
	if err != nil {
		t.Fatal(err)
	}
	filter := &refusingFilter{}
	x := handler.NewExchange(handler.NewRequest("GET", "/species", "", nil), 0)
	x.Request().Fields().Add("Traceparent", "00-"+callerTrace+"-"+callerSpan+"-01")
	if err := handler.NewChain(filterer.NewTraceRequest(tr), filterer.NewTraceAttempt(tr), filter).Serve(context.Background(), x); err == nil {
		t.Fatal("the filter chain did not refuse the request")
	}
	if err := tr.Close(context.Background()); err != nil {
		t.Fatal(err)
	}

	return filter.sent
}

// TestSpans compares the spans of one request with the golden file.
func TestSpans(t *testing.T) {
	file := filepath.Join(t.TempDir(), "spans.jsonl")
	sent := run(t, configurer.NewTracing(configurer.ExporterJSONLines, file, 1))
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	for _, line := range strings.Split(strings.TrimSpace(string(data)), "\n") {
		var s struct {
			Name        string
			SpanContext struct{ TraceID, SpanID string }
			Parent      struct{ SpanID string }
			Status      struct{ Code, Description string }
		}
		if err := json.Unmarshal([]byte(line), &s); err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "%s: trace of the caller: %v, parent is the caller's span: %v, sent to the upstream: %v, status: %s %q\n", s.Name, s.SpanContext.TraceID == callerTrace,
			s.Parent.SpanID == callerSpan, strings.Contains(sent, s.SpanContext.SpanID), s.Status.Code, s.Status.Description)
	}
	goldie.New(t).Assert(t, "spans", []byte(out.String()))
}

// TestOffPassesContextOn checks that a disabled tracer leaves the caller's trace context
// unchanged.
func TestOffPassesContextOn(t *testing.T) {
	sent := run(t, configurer.NewTracing(configurer.ExporterOff, "", 0))
	if want := "00-" + callerTrace + "-" + callerSpan + "-01"; sent != want {
		t.Errorf("sent %q, want %q", sent, want)
	}
}
