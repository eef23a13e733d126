package logger_test

import (
	"bytes"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/logger"
)

// TestCatalogue checks that docs/EVENTS.md lists exactly the events in the code, in
// ascending order of their numbers.
func TestCatalogue(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Events\n\nEvery log line is one of these events. An alarm needs an operator; docs/OPERATING.md tells what to do.\n\n")
	b.WriteString("| number | level | name | meaning |\n|---|---|---|---|\n")
	last := 0
	for _, e := range logger.Events() {
		if e.Number() <= last {
			t.Errorf("event %d is listed after event %d; want ascending numbers", e.Number(), last)
		}
		last = e.Number()
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.Number(), e.Level(), e.Name(), e.Meaning())
	}
	const page = "../../docs/EVENTS.md"
	if os.Getenv("UPDATE_EVENTS") != "" {
		if err := os.WriteFile(page, []byte(b.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != b.String() {
		t.Errorf("docs/EVENTS.md differs from the events in the code; want:\n%s", b.String())
	}
}

// TestFormats compares one line of each format with the golden file.
func TestFormats(t *testing.T) {
	var out bytes.Buffer
	for _, f := range []logger.Format{logger.FormatLogfmt, logger.FormatJSON} {
		var line bytes.Buffer
		logger.New(&line, f, "vm-1").Log(logger.ChangeSkipped,
			logger.Int("offset", 7), logger.Millis("took", time.Second), logger.Failure(errors.Newf("a %q fault", "x")))
		out.WriteString(withoutTime(line.String()))
	}
	goldie.New(t).Assert(t, "formats", out.Bytes())
}

var timestamp = regexp.MustCompile(`\d{4}-\d\d-\d\dT[^" ]*Z`)

func withoutTime(line string) string {
	return timestamp.ReplaceAllString(line, "TIME")
}
