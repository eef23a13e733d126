package commander

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/standin"
)

// TestBrokenPages runs the commands that read a page of a VM with pages that are broken, and
// compares whether they succeed with the golden file. It guards against a part of a page that
// is printed as the whole one.
func TestBrokenPages(t *testing.T) {
	const page = `{"id":"vm-1","version":7,"ready":true}`
	var out bytes.Buffer
	for _, text := range standin.BrokenResponses(page, 20) {
		fmt.Fprintf(&out, "%q:\n", text)
		for _, c := range []struct {
			command *command
			args    []string
		}{
			{&cmdStatus, nil},
			{&cmdStatus, []string{"--json"}},
			{&cmdWhere, []string{"--host", "a.example", "--path", "/b/x", "--vm"}},
			{&cmdWhere, []string{"--host", "a.example", "--path", "/b/x", "--json", "--vm"}},
		} {
			ln, err := standin.Accept(standin.Respond(text))
			if err != nil {
				t.Fatal(err)
			}
			began := false
			built := c.command.build(&began)
			built.SetOut(io.Discard)
			built.SilenceErrors, built.SilenceUsage = true, true
			built.SetArgs(append(c.args, ln.Addr().String()))
			err = built.ExecuteContext(t.Context())
			ln.Close()
			fmt.Fprintf(&out, "  %s: succeeds=%v\n", strings.Join(append([]string{c.command.name}, c.args...), " "), err == nil)
		}
	}
	goldie.New(t).Assert(t, "broken_pages", out.Bytes())
}
