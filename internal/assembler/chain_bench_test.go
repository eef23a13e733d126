package assembler_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/assembler"
	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/standin"
)

// instantFilter is the last filter of a chain; it answers each request at once,
// without a target.
type instantFilter struct {
	response *handler.Response
}

func (i *instantFilter) Name() string { return "instant" }

func (i *instantFilter) Handle(_ context.Context, x *handler.Exchange, _ handler.Handler) error {
	x.SetAttempt(handler.NewCompletedAttempt(x.Target(), i.response).SetTiming(time.Millisecond, true))
	x.SetResponse(i.response)

	return nil
}

// BenchmarkChain measures the filter chain of a running VM without the network, for
// a request with a key and for one to an open route.
func BenchmarkChain(b *testing.B) {
	up := standin.NewUpstream("f1", standin.DefaultSlots)
	target := startStandin(b, up.Handler())
	logURL := "http://" + startStandin(b, standin.NewLog().Handler())
	vmListURL := "http://" + startStandin(b, standin.NewVMs().Handler())
	vm := startVM(b, logURL, vmListURL)
	publishManifest(b, logURL, target)
	waitFor(b, "the manifest is in force", func() bool { return vm.Version() == 0 && vm.Ready() })
	chain := vm.ChainWith(&instantFilter{
		response: handler.NewResponse(http.StatusOK, nil),
	})
	b.Run("keyed", func(b *testing.B) { runChain(b, vm, chain, "/species/amanita", testKey) })
	b.Run("open", func(b *testing.B) { runChain(b, vm, chain, "/open", "") })
}

func runChain(b *testing.B, vm *assembler.VM, chain *handler.Chain, path, key string) {
	b.Helper()
	b.ReportAllocs()
	failed := 0
	for b.Loop() {
		r := handler.NewRequest(http.MethodGet, path, "", nil)
		r.Fields().Add("Host", "fieldbook.example")
		r.Fields().Add("User-Agent", "benchmark")
		r.Fields().Add("Accept", "application/json")
		if key != "" {
			r.Fields().Add("Lagoonkeel-Key", key)
		}
		if chain.Serve(context.Background(), handler.NewExchange(r, vm.Now())) != nil {
			failed++
		}
	}
	b.ReportMetric(float64(failed)/float64(b.N), "failed/op")
}
