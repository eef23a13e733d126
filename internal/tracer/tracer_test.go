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

// refusing ends each exchange and notes the trace context that an upstream
// would get.
type refusing struct {
	sent string
}

func (r *refusing) Name() string { return "refusing" }

func (r *refusing) Handle(_ context.Context, x *handler.Exchange, _ handler.Handler) error {
	r.sent = x.Request().Fields().Get("traceparent")

	return handler.NewRefusal(handler.CodeNoTarget, "no target")
}

func run(t *testing.T, s configurer.Tracing) (sent string) {
	t.Helper()
	tr, err := tracer.New(context.Background(), s, "vm-1")
	if err != nil {
		t.Fatal(err)
	}
	last := &refusing{}
	x := handler.NewExchange(handler.NewRequest("GET", "/species", "", nil), 0)
	x.Request().Fields().Add("Traceparent", "00-"+callerTrace+"-"+callerSpan+"-01")
	if err := handler.NewChain(filterer.NewTraceRequest(tr), filterer.NewTraceAttempt(tr), last).Serve(context.Background(), x); err == nil {
		t.Fatal("the chain gave no refusal")
	}
	if err := tr.Close(context.Background()); err != nil {
		t.Fatal(err)
	}

	return last.sent
}

// TestSpans makes a span for each hop and compares them with the golden file.
func TestSpans(t *testing.T) {
	file := filepath.Join(t.TempDir(), "spans.jsonl")
	sent := run(t, configurer.NewTracing(configurer.ExporterLines, file, 1))
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
		fmt.Fprintf(&out, "%s trace=caller:%v parent=caller:%v sent=%v status=%s %q\n", s.Name, s.SpanContext.TraceID == callerTrace,
			s.Parent.SpanID == callerSpan, strings.Contains(sent, s.SpanContext.SpanID), s.Status.Code, s.Status.Description)
	}
	goldie.New(t).Assert(t, "spans", []byte(out.String()))
}

// TestOffPassesContextOn leaves the caller's trace context as it came.
func TestOffPassesContextOn(t *testing.T) {
	sent := run(t, configurer.NewTracing(configurer.ExporterOff, "", 0))
	if want := "00-" + callerTrace + "-" + callerSpan + "-01"; sent != want {
		t.Errorf("sent %q, want %q", sent, want)
	}
}
