package commander

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/sebdah/goldie/v2"
)

// TestWhere compares the tables of answers with the golden file. It guards against a column
// that the VM names otherwise: the first answers are those that the VM's own test stores.
func TestWhere(t *testing.T) {
	stored, err := os.ReadFile("../../platform/adapter/testdata/where.golden")
	if err != nil {
		t.Fatal(err)
	}
	rich, err := os.ReadFile("testdata/where.json")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(string(stored), "\n")
	var out bytes.Buffer
	for _, body := range []string{lines[3], lines[5], string(rich), ""} {
		var asked string
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			asked = r.Method + " " + r.URL.String()
			if body == "" {
				w.WriteHeader(http.StatusNotFound)
			}
			_, _ = w.Write([]byte(body))
		}))
		for _, more := range [][]string{{"--method", "POST", "--team", "t1"}, {"--json"}} {
			began := false
			var printed bytes.Buffer
			c := cmdWhere.build(&began)
			c.SetOut(&printed)
			c.SilenceErrors, c.SilenceUsage = true, true // As below the root command.
			c.SetArgs(append([]string{"--vm", strings.TrimPrefix(s.URL, "http://"), "--host", "a.example", "--path", "/b/x"}, more...))
			err := c.ExecuteContext(t.Context())
			var failure *WhereError
			switch {
			case (body == "") != errors.As(err, &failure):
				t.Errorf("got %v for the body %q", err, body)
			case more[0] != "--json" && err == nil:
				fmt.Fprintf(&out, "%s\n%s\n", asked, printed.String())
			case printed.String() != body:
				t.Errorf("printed %s for %s", printed.String(), body)
			}
		}
		s.Close()
	}
	goldie.New(t).Assert(t, "where", out.Bytes())
}
