package assembler_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/assembler"
	"github.com/lagoonkeel/lagoonkeel/internal/configurer"
	"github.com/lagoonkeel/lagoonkeel/internal/decoder"
	"github.com/lagoonkeel/lagoonkeel/internal/keyer"
	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/publisher"
	"github.com/lagoonkeel/lagoonkeel/internal/snapshotter"
	"github.com/lagoonkeel/lagoonkeel/internal/standin"
	"github.com/lagoonkeel/lagoonkeel/internal/streamer"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

const (
	testKey = "lk_test"
	// testTimeout bounds each wait of a test. It is long because no test checks how soon
	// a state is reached.
	testTimeout = 20 * time.Second
)

func startStandin(t testing.TB, h standin.Handler) string {
	t.Helper()
	s, err := standin.Listen("127.0.0.1:0", h)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})

	return s.Address()
}

func startVM(t testing.TB, logURL, vmListURL string) *assembler.VM {
	t.Helper()
	vm, err := assembler.New(configurer.New(configurer.Spec{
		ID:         "vm-1",
		DataCentre: "kandy",
		Region:     "central-hills",
		Callers:    "127.0.0.1:0",
		Peers:      "127.0.0.1:0",
		Operators:  "127.0.0.1:0",
		LogURL:     logURL,
		VMListURL:  vmListURL,
		MaxBody:    1 << 16,
	}), logger.Discard())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- vm.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("the VM stopped with an error: %v", err)
		}
	})

	return vm
}

func waitFor(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("condition not met within %v: %s", testTimeout, what)
}

// TestWholePath sends requests through a VM to an upstream and compares the responses
// with the golden file. The upstream must not see any key.
func TestWholePath(t *testing.T) {
	up := standin.NewUpstream("f1", standin.DefaultSlots)
	target := startStandin(t, up.Handler())
	logURL := "http://" + startStandin(t, standin.NewLog().Handler())
	vmListURL := "http://" + startStandin(t, standin.NewVMs().Handler())
	vm := startVM(t, logURL, vmListURL)
	publishManifest(t, logURL, target)
	waitFor(t, "the manifest is in force", func() bool { return vm.Version() == 0 && vm.Ready() })

	var out bytes.Buffer
	for _, c := range []struct{ method, path, key string }{
		{http.MethodGet, "/species/amanita", testKey},
		{http.MethodGet, "/species/amanita", "lk_other"},
		{http.MethodGet, "/species/amanita", ""},
		{http.MethodPut, "/species/amanita", testKey},
		{http.MethodGet, "/nowhere", testKey},
		{http.MethodGet, "/open", ""},
		{http.MethodGet, "/species/" + testKey, testKey},
		{http.MethodPost, "/sightings", testKey},
	} {
		fmt.Fprintf(&out, "%s %s key=%q: %s\n", c.method, c.path, c.key, call(t, vm.Callers(), c.method, c.path, c.key))
	}
	goldie.New(t).Assert(t, "path", out.Bytes())
	if n := len(up.Runs()); n != 3 {
		t.Errorf("%d requests reached the upstream, want 3", n)
	}
	for _, r := range up.Runs() {
		if strings.Contains(fmt.Sprint(r), testKey) {
			t.Errorf("the upstream saw the key: %v", r)
		}
	}
}

func publishManifest(t testing.TB, logURL, target string) {
	t.Helper()
	text := fmt.Sprintf(`{
		"services": [{"name": "fieldbook", "class": "lookup", "targets": [{"name": "f1", "address": %q, "dataCentre": "kandy"}]}],
		"teams": [{"name": "guides", "rate": 100000000, "burst": 10000000, "keys": [%q]}],
		"routes": [
			{"name": "species", "method": "GET", "prefix": "/species", "service": "fieldbook", "idempotent": true},
			{"name": "sightings", "method": "POST", "prefix": "/sightings", "service": "fieldbook"},
			{"name": "open", "prefix": "/open", "service": "fieldbook", "open": true}]}`, target, keyer.Digest(testKey))
	m, err := decoder.Manifest([]byte(text), manifester.NoVersion)
	if err != nil {
		t.Fatal(err)
	}
	log := streamer.NewClient(logURL)
	p := publisher.New(log, snapshotter.NewLoader(log, decoder.Chunk), timer.NewManual(0), testTimeout)
	plan, err := p.Plan(context.Background(), m)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p.Publish(context.Background(), plan); err != nil {
		t.Fatal(err)
	}
}

func call(t *testing.T, address, method, path, key string) string {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+address+path, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		req.Header.Set("Lagoonkeel-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}

	return fmt.Sprintf("%d outcome=%q %s", resp.StatusCode, resp.Header.Get("Lagoonkeel-Outcome"), bytes.TrimSpace(body))
}
