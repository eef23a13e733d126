package explainer_test

import (
	"bytes"
	"os"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/explainer"
)

// TestExplainEvacuation compares the explanation of a request that was refused during
// evacuations with the golden file. It guards against a refusal for lack of a target whose
// cause an operator has to look for elsewhere.
func TestExplainEvacuation(t *testing.T) {
	data, err := os.ReadFile("testdata/evacuation.log")
	if err != nil {
		t.Fatal(err)
	}
	e := explainer.New("a11e")
	if err := e.Read(bytes.NewReader(data)); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := e.Write(&out); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "evacuation", out.Bytes())
}
