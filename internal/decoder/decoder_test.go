package decoder_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/decoder"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// TestFaults decodes every JSON file below testdata/manifest and testdata/settings and
// compares the faults with the golden file of the same name.
func TestFaults(t *testing.T) {
	decode := map[string]func([]byte) error{
		"manifest": func(data []byte) error {
			_, err := decoder.Manifest(data, manifester.NoVersion)

			return err
		},
		"settings": func(data []byte) error {
			_, err := decoder.Settings(data)

			return err
		},
	}
	for kind, f := range decode {
		inputs, err := filepath.Glob(filepath.Join("testdata", kind, "*.json"))
		if err != nil || len(inputs) == 0 {
			t.Fatalf("no input files for %s: %v", kind, err)
		}
		for _, in := range inputs {
			name := strings.TrimSuffix(filepath.Base(in), ".json")
			t.Run(kind+"/"+name, func(t *testing.T) {
				data, err := os.ReadFile(in)
				if err != nil {
					t.Fatal(err)
				}
				assertGolden(t, kind+"/"+name, f(data))
			})
		}
	}
}

func assertGolden(t *testing.T, name string, err error) {
	t.Helper()
	text := "accepted\n"
	if err != nil {
		var f manifester.Faults
		if !errors.As(err, &f) {
			t.Fatalf("the error has type %T, want manifester.Faults", err)
		}
		text = f.Error() + "\n"
	}
	goldie.New(t).Assert(t, name, []byte(text))
}

// TestHostileDocuments checks the faults of documents that are malformed as a whole. They
// are literals instead of files below testdata, since they are empty, very long or not
// valid UTF-8.
func TestHostileDocuments(t *testing.T) {
	inputs := map[string]string{
		"empty":       "",
		"truncated":   `{"services": [`,
		"not-utf8":    "{\"services\": \"\xff\"}",
		"deep":        strings.Repeat("[", 10000),
		"trailing":    "{} {}",
		"duplicate":   `{"teams": [], "teams": []}`,
		"array":       "[]",
		"just-a-word": "nonsense",
	}
	for name, in := range inputs {
		t.Run(name, func(t *testing.T) {
			_, err := decoder.Manifest([]byte(in), manifester.NoVersion)
			assertGolden(t, "hostile/"+name, err)
		})
	}
}
