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

// explain returns the explanation of a request by a log.
func explain(t *testing.T, log, id string) []byte {
	t.Helper()
	data, err := os.ReadFile("testdata/" + log + ".log")
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
		if !errors.As(err, &m) || id != "missing" {
			t.Fatal(err)
		}
		fmt.Fprintln(&out, err)
	}

	return out.Bytes()
}

// TestExplain compares the explanations of requests with the golden files. The lines
// are from several VMs; some have a prefix from a collector and some are truncated.
func TestExplain(t *testing.T) {
	for _, id := range []string{"b00c", "c4b3", "d00d", "e0e0", "f00d", "missing"} {
		t.Run(id, func(t *testing.T) { goldie.New(t).Assert(t, id, explain(t, "fleet", id)) })
	}
}

// TestExplainSpacing compares the explanations of requests whose retries waited, were refused
// for requests of a higher rank, or ended as their caller left, with the golden files.
func TestExplainSpacing(t *testing.T) {
	var out []byte
	for _, id := range []string{"a1", "a2", "a3"} {
		out = append(out, explain(t, "spacing", id)...)
	}
	goldie.New(t).Assert(t, "spacing", out)
}

// TestExplainEvacuation compares the explanation of a request that was refused during
// evacuations with the golden file. It guards against a refusal for lack of a target whose
// cause an operator has to look for elsewhere.
func TestExplainEvacuation(t *testing.T) {
	goldie.New(t).Assert(t, "evacuation", explain(t, "evacuation", "a11e"))
}

// TestExplainHedge compares the explanation of a hedged request with the golden file: its
// attempts have a mark more than others, and must not be shown as unreadable.
func TestExplainHedge(t *testing.T) {
	goldie.New(t).Assert(t, "4ed6", explain(t, "hedge", "4ed6"))
}
