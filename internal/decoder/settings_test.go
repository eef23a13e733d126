package decoder_test

import (
	"os"
	"testing"

	"github.com/lagoonkeel/lagoonkeel/internal/decoder"
)

// TestRetrySpacing guards against a fleet that delays retries although its settings do not
// ask for it.
func TestRetrySpacing(t *testing.T) {
	for file, want := range map[string]bool{"spacing": true, "good": false} {
		data, err := os.ReadFile("testdata/settings/" + file + ".json")
		if err != nil {
			t.Fatal(err)
		}
		s, err := decoder.Settings(data)
		if err != nil {
			t.Fatal(err)
		}
		if s.RetrySpacing() != want {
			t.Errorf("%s.json: spacing is %v", file, s.RetrySpacing())
		}
	}
}
