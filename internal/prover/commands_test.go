package prover

import (
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// TestCommands compares the exit code and the last line of output of each command
// line with the golden file.
func TestCommands(t *testing.T) {
	t.Parallel()
	const good, bad = "../decoder/testdata/manifest/good.json", "../decoder/testdata/settings/bad.json"
	var out strings.Builder
	for _, line := range []string{
		"version",
		"check manifest " + good,
		"check manifest missing.json",
		"check settings " + bad,
		"check nonsense",
		"serve " + bad,
		"serve",
		"serve --nonsense x",
		"nonsense",
		"status",
		"publish " + good,
		"publish --log ftp://x " + good,
		"key new extra",
	} {
		code, text := command(t, "lagoonkeel", strings.Fields(line)...)
		lines := strings.Split(strings.TrimSpace(text), "\n")
		fmt.Fprintf(&out, "lagoonkeel %s\n  exit %d: %s\n", line, code, lines[len(lines)-1])
	}
	goldie.New(t).Assert(t, "commands", []byte(out.String()))
}
