package explainer_test

import (
	"bytes"
	"os"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/explainer"
)

// TestExplainHedge compares the explanation of a hedged request with the golden file: its
// attempts have a mark more than others, and must not be shown as unreadable.
func TestExplainHedge(t *testing.T) {
	data, err := os.ReadFile("testdata/hedge.log")
	if err != nil {
		t.Fatal(err)
	}
	e := explainer.New("4ed6")
	if err := e.Read(bytes.NewReader(data)); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := e.Write(&out); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "4ed6", out.Bytes())
}
