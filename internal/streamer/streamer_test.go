package streamer_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/standin"
	"github.com/lagoonkeel/lagoonkeel/internal/streamer"
)

// TestBrokenBatches reads records from a log whose responses are broken, and compares how many
// records are read with the golden file.
func TestBrokenBatches(t *testing.T) {
	const batch = `{"first":0,"head":2,"records":[{"offset":0,"data":"eA=="},{"offset":1,"data":"eQ=="}]}`
	var out bytes.Buffer
	for _, text := range standin.BrokenResponses(batch, 57) {
		ln, err := standin.Accept(standin.Respond(text))
		if err != nil {
			t.Fatal(err)
		}
		read, err := streamer.NewClient("http://"+ln.Addr().String()).Read(t.Context(), "manifest", 0, time.Second)
		ln.Close()
		fmt.Fprintf(&out, "%q: %d records, failed=%v\n", text, len(read.Records()), err != nil)
	}
	goldie.New(t).Assert(t, "broken_batches", out.Bytes())
}
