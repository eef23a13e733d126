package explainer_test

import (
	"bytes"
	"fmt"
	"os"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/explainer"
)

// TestExplain compares the explanations of requests with the golden files. The lines
// are from several VMs; some have a prefix from a collector and some are truncated.
func TestExplain(t *testing.T) {
	for _, id := range []string{"b00c", "c4b3", "d00d", "e0e0", "f00d", "missing"} {
		t.Run(id, func(t *testing.T) {
			data, err := os.ReadFile("testdata/fleet.log")
			if err != nil {
				t.Fatal(err)
			}
			e := explainer.New(id)
			if err := e.Read(bytes.NewReader(data)); err != nil {
				t.Fatal(err)
			}
			var out bytes.Buffer
			if err := e.Write(&out); err != nil {
				var m *explainer.MissingError
				if !errors.As(err, &m) {
					t.Fatal(err)
				}
				fmt.Fprintln(&out, err)
			}
			goldie.New(t).Assert(t, id, out.Bytes())
		})
	}
}
