package handler_test

import (
	"context"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
)

// recordingFilter is a filter that writes to out when it is entered and left.
type recordingFilter struct {
	name string
	out  *strings.Builder
	stop bool
}

func (r *recordingFilter) Name() string { return r.name }

func (r *recordingFilter) Handle(ctx context.Context, x *handler.Exchange, next handler.Handler) error {
	r.out.WriteString("enter " + r.name + "\n")
	defer r.out.WriteString("leave " + r.name + "\n")
	if r.stop {
		return handler.NewRefusal(handler.CodeOverRate, "stopped by "+r.name)
	}

	return next.Serve(ctx, x)
}

// TestChainOrder compares the order in which filters are entered and left with
// the golden file, for a chain that ends without a response and for one whose
// second filter refuses.
func TestChainOrder(t *testing.T) {
	var out strings.Builder
	for _, stop := range []string{"", "b"} {
		var filters []handler.Filter
		for _, n := range []string{"a", "b", "c"} {
			filters = append(filters, &recordingFilter{
				name: n,
				out:  &out,
				stop: n == stop,
			})
		}
		err := handler.NewChain(filters...).Serve(context.Background(), handler.NewExchange(handler.NewRequest("GET", "/", "", nil), 0))
		out.WriteString("result " + err.Error() + "\n")
	}
	goldie.New(t).Assert(t, "order", []byte(out.String()))
}
