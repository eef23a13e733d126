package commander

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestStatusRow checks that the row of a VM shows the fields of its status.
func TestStatusRow(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"id":"vm-1","version":7,"next":9,"ready":true,"fresh":true,"members":3,"epoch":4,"ranges":85}`))
	}))
	defer s.Close()
	began := false
	var out bytes.Buffer
	c := cmdStatus.build(&began)
	c.SetOut(&out)
	c.SetArgs([]string{strings.TrimPrefix(s.URL, "http://")})
	if err := c.ExecuteContext(t.Context()); err != nil {
		t.Fatal(err)
	}
	rows := strings.Split(strings.TrimSpace(out.String()), "\n")
	got := strings.Join(strings.Fields(rows[len(rows)-1])[1:], " ")
	if want := "vm-1 7 9 true true 3 4 85"; got != want {
		t.Errorf("status shows %q, want %q", got, want)
	}
}
