// Package prover proves, with real processes, what must always hold. Everything
// it has is in test files: the harness starts the programs, relays and
// stand-ins on loopback and ends what it started.
package prover

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	// The programs' code is part of what the proofs depend on: without it the
	// test cache would keep results of older programs.
	_ "github.com/lagoonkeel/lagoonkeel/internal/commander"
	"github.com/lagoonkeel/lagoonkeel/internal/keyer"
	"github.com/lagoonkeel/lagoonkeel/internal/standin"
)

// patience bounds the wait for a state; no verdict depends on how fast it
// comes.
const patience = 40 * time.Second

// binaries is the folder of the built programs; set by TestMain.
var binaries string

// TestMain builds the programs once for all proofs.
func TestMain(m *testing.M) {
	os.Exit(runAll(m))
}

func runAll(m *testing.M) int {
	dir, err := os.MkdirTemp("", "lagoonkeel-prover")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir, "../../cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "building the programs:", err)

		return 1
	}
	binaries = dir

	return m.Run()
}

// nextPort hands out ports below the range that the system gives to outgoing
// connections, so that a port stays free between its choice and its use.
var nextPort atomic.Int64

const (
	firstPort = 12000
	portSpan  = 18000
)

func freeAddress(t *testing.T) string {
	t.Helper()
	for range portSpan {
		n := nextPort.Add(1) + int64(os.Getpid()*131)
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+n%portSpan)
		ln, err := net.Listen("tcp", address)
		if err == nil {
			ln.Close()

			return address
		}
	}
	t.Fatal("no free port")

	return ""
}

// waitFor waits until ok returns true.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not within %v: %s", patience, what)
}

// process is one started program.
type process struct {
	t    *testing.T
	name string
	args []string
	// output is the file that gets what the process prints.
	output string
	mu     sync.Mutex
	cmd    *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
	code   int
}

// startProcess starts a program of the project; it is killed when the test
// ends.
func startProcess(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	p := &process{
		t:      t,
		name:   name,
		args:   append([]string{filepath.Join(binaries, program)}, args...),
		output: filepath.Join(t.TempDir(), name+".log"),
	}
	p.start()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("output of %s, last part:\n%s", name, p.tail(4000))
		}
	})

	return p
}

func (p *process) start() {
	p.t.Helper()
	out, err := os.OpenFile(p.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer out.Close()
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Stdout = out
	cmd.Stderr = out
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd = cmd
	p.exited = exited
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		p.mu.Lock()
		p.code = cmd.ProcessState.ExitCode()
		p.mu.Unlock()
		close(exited)
	}()
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s) // The process may have ended.
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended()
}

// freeze stops the process in its tracks until thaw.
func (p *process) freeze() { p.signal(syscall.SIGSTOP) }

func (p *process) thaw() { p.signal(syscall.SIGCONT) }

// terminate asks the process for a graceful stop.
func (p *process) terminate() { p.signal(syscall.SIGTERM) }

func (p *process) ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.exited
}

// exitCode waits for the end and returns the exit code.
func (p *process) exitCode() int {
	p.t.Helper()
	select {
	case <-p.ended():
	case <-time.After(patience):
		p.t.Fatalf("%s did not end within %v", p.name, patience)
	}
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.code
}

// printed returns everything that the process wrote.
func (p *process) printed() string {
	data, _ := os.ReadFile(p.output)

	return string(data)
}

func (p *process) tail(n int) string {
	s := p.printed()

	return s[max(0, len(s)-n):]
}

// answer is what a caller got.
type answer struct {
	status  int
	outcome string
	fields  http.Header
	body    string
	err     error
}

// String tells what was decided, without times.
func (a answer) String() string {
	if a.err != nil {
		return "no answer"
	}
	if a.outcome == "" {
		return fmt.Sprintf("%d answered by the upstream", a.status)
	}

	return fmt.Sprintf("%d %s %s", a.status, a.outcome, a.code())
}

// code returns the refusal's stable code.
func (a answer) code() string {
	var r struct {
		Code string `json:"code"`
	}
	_ = json.Unmarshal([]byte(a.body), &r) // An upstream's answer has no code.

	return r.Code
}

// request is one request of a caller.
type request struct {
	method string
	path   string
	key    string
	token  string
	// fields are further header fields, name and value in turn.
	fields []string
	body   string
}

// send sends a request on the client's connections.
func send(c *http.Client, address string, r request) answer {
	if r.method == "" {
		r.method = http.MethodGet
	}
	req, err := http.NewRequest(r.method, "http://"+address+r.path, strings.NewReader(r.body))
	if err != nil {
		return answer{err: err}
	}
	if r.key != "" {
		req.Header.Set("Lagoonkeel-Key", r.key)
	}
	if r.token != "" {
		req.Header.Set("Test-Token", r.token)
	}
	for i := 0; i+1 < len(r.fields); i += 2 {
		req.Header.Add(r.fields[i], r.fields[i+1])
	}
	resp, err := c.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)

	return answer{
		status:  resp.StatusCode,
		outcome: resp.Header.Get("Lagoonkeel-Outcome"),
		fields:  resp.Header,
		body:    string(body),
		err:     err,
	}
}

// newClient returns a client with connections of its own.
func newClient(t *testing.T) *http.Client {
	t.Helper()
	tr := &http.Transport{
		MaxIdleConnsPerHost: 64,
	}
	t.Cleanup(tr.CloseIdleConnections)

	return &http.Client{
		Transport: tr,
		Timeout:   patience,
	}
}

// putJSON sends v to a stand-in.
func putJSON(t *testing.T, url string, v any) {
	t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("PUT %s: status %d", url, resp.StatusCode)
	}
}

// getJSON reads v from a URL.
func getJSON(url string, v any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()

	return json.NewDecoder(resp.Body).Decode(v)
}

// command runs a program to its end and returns its exit code and output.
func command(t *testing.T, program string, args ...string) (code int, output string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	cmd := exec.CommandContext(ctx, filepath.Join(binaries, program), args...)
	out, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		t.Fatal(err)
	}

	return cmd.ProcessState.ExitCode(), string(out)
}

// digest returns the digest of a key for a manifest.
func digest(key string) string { return keyer.Digest(key) }

// runsOf returns the record of an upstream.
func runsOf(t *testing.T, address string) []standin.Run {
	t.Helper()
	var runs []standin.Run
	if err := getJSON("http://"+address+"/_standin/runs", &runs); err != nil {
		t.Fatal(err)
	}

	return runs
}
