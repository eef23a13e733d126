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

// TestExplainSpacing compares the explanations of requests whose retries waited, were refused
// for requests of a higher rank, or ended as their caller left, with the golden files.
func TestExplainSpacing(t *testing.T) {
	data, err := os.ReadFile("testdata/spacing.log")
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	for _, id := range []string{"a1", "a2", "a3"} {
		e := explainer.New(id)
		if err := e.Read(bytes.NewReader(data)); err != nil {
			t.Fatal(err)
		}
		if err := e.Write(&out); err != nil {
			t.Fatal(err)
		}
	}
	goldie.New(t).Assert(t, "spacing", out.Bytes())
}
