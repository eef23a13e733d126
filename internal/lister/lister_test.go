package lister_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/lister"
	"github.com/lagoonkeel/lagoonkeel/internal/standin"
)

// TestBrokenLists reads the VM list from a platform whose responses are broken, and compares
// how many VMs are read with the golden file.
func TestBrokenLists(t *testing.T) {
	const list = `[{"id":"vm-1","role":"vm"},{"id":"vm-2","role":"vm"}]`
	var out bytes.Buffer
	for _, text := range standin.BrokenResponses(list, 27) {
		ln, err := standin.Accept(standin.Respond(text))
		if err != nil {
			t.Fatal(err)
		}
		vms, err := lister.NewClient("http://" + ln.Addr().String()).List(t.Context())
		ln.Close()
		fmt.Fprintf(&out, "%q: %d VMs, failed=%v\n", text, len(vms), err != nil)
	}
	goldie.New(t).Assert(t, "broken_lists", out.Bytes())
}
