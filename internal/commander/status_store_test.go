package commander

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/sebdah/goldie/v2"
)

// TestStatusOfStoreVMs compares the tables of VMs on the log, VMs on the platform's store
// and an address without a VM with the golden file. It guards against an evacuation that
// the status of a VM does not show.
func TestStatusOfStoreVMs(t *testing.T) {
	const lastPort = ":1"
	var replaced []string
	args := []string{"127.0.0.1" + lastPort}
	for _, body := range []string{
		`{"id":"vm-1","version":7,"ready":true,"heard":3,"known":4,"targets":34,"evacuatedTargets":12,"evacuated":["galle","kandy"]}`,
		`{"id":"vm-2","version":7,"next":9,"ready":true,"fresh":true,"members":3,"epoch":4,"ranges":85}`,
		`{"id":"vm-3","version":7,"ready":false,"heard":1,"known":1,"targets":0,"evacuatedTargets":0,"evacuated":[]}`,
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
		defer s.Close()
		address := strings.TrimPrefix(s.URL, "http://")
		args = append(args, address)
		replaced = append(replaced, address, "ADDRESS:PORT"+strings.Repeat("_", len(address)-len("ADDRESS:PORT")))
	}
	began := false
	var out bytes.Buffer
	c := cmdStatus.build(&began)
	c.SetOut(&out)
	c.SetArgs(args)
	var failure *NoStatusError
	if err := c.ExecuteContext(t.Context()); !errors.As(err, &failure) || failure.count != 1 {
		t.Errorf("got %v, want a *NoStatusError for one VM", err)
	}
	text, _, _ := strings.Cut(strings.NewReplacer(replaced...).Replace(out.String()), "dial tcp")
	goldie.New(t).Assert(t, "status", []byte(text))
}
