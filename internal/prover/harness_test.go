// Package prover holds the end-to-end tests of the guarantees of the system. All
// of its code is in test files: the harness starts the programs, relays and
// stand-ins as processes or listeners on loopback, and stops them when a test ends.
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

	// TestMain builds the programs with a command whose inputs the test cache does
	// not track. This import makes their code a dependency of the tests; without
	// it, the cache would return results of older builds.
	_ "github.com/lagoonkeel/lagoonkeel/internal/commander"
	"github.com/lagoonkeel/lagoonkeel/internal/keyer"
	"github.com/lagoonkeel/lagoonkeel/internal/standin"
)

// waitTimeout bounds each wait for a state. Where the time to reach a state
// matters, the test checks a bound of its own.
const waitTimeout = 40 * time.Second

// binaries is the directory of the built programs. TestMain sets it.
var binaries string

// TestMain builds the programs once for all tests.
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

// nextPort counts through ports below the ephemeral range of the system, so that
// no outgoing connection takes a port between its choice and its use.
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

// waitFor polls until ok returns true, and fails the test after waitTimeout.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not within %v: %s", waitTimeout, what)
}

// process is one started program.
type process struct {
	t    *testing.T
	name string
	args []string
	// outputPath is the file that receives stdout and stderr of the process.
	outputPath string
	mu         sync.Mutex
	cmd        *exec.Cmd
	// exited is closed when the process has exited.
	exited chan struct{}
	code   int
}

// startProcess starts one of the built programs, and kills it when the test
// ends.
func startProcess(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	p := &process{
		t:          t,
		name:       name,
		args:       append([]string{filepath.Join(binaries, program)}, args...),
		outputPath: filepath.Join(t.TempDir(), name+".log"),
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
	out, err := os.OpenFile(p.outputPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
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
	_ = p.cmd.Process.Signal(s) // Fails if the process has already exited.
}

// kill sends SIGKILL and waits for the process to exit.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done()
}

// freeze suspends the process with SIGSTOP until resume is called, and waits
// until each of its threads is stopped.
func (p *process) freeze() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	waitFor(p.t, p.name+" is frozen", p.frozen)
}

// frozen reports whether every thread is stopped.
func (p *process) frozen() bool {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(threads) == 0 {
		return false
	}
	for _, t := range threads {
		data, _ := os.ReadFile(t) // The file is gone if the thread has exited.
		_, state, _ := strings.Cut(string(data), ") ")
		if !strings.HasPrefix(state, "T") && state != "" {
			return false
		}
	}

	return true
}

func (p *process) resume() { p.signal(syscall.SIGCONT) }

// terminate asks the process with SIGTERM to shut down gracefully.
func (p *process) terminate() { p.signal(syscall.SIGTERM) }

func (p *process) done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.exited
}

// exitCode waits for the process to exit and returns its exit code.
func (p *process) exitCode() int {
	p.t.Helper()
	select {
	case <-p.done():
	case <-time.After(waitTimeout):
		p.t.Fatalf("%s did not exit within %v", p.name, waitTimeout)
	}
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.code
}

// output returns everything that the process has written.
func (p *process) output() string {
	data, _ := os.ReadFile(p.outputPath)

	return string(data)
}

func (p *process) tail(n int) string {
	s := p.output()

	return s[max(0, len(s)-n):]
}

// answer is the response to one request, or the error that came instead.
type answer struct {
	status  int
	outcome string
	fields  http.Header
	body    string
	err     error
}

// String returns the status, outcome and code, which do not vary with timing.
func (a answer) String() string {
	if a.err != nil {
		return "no answer"
	}
	if a.outcome == "" {
		return fmt.Sprintf("%d answered by the upstream", a.status)
	}

	return fmt.Sprintf("%d %s %s", a.status, a.outcome, a.code())
}

// code returns the code of a refusal, or "" for any other answer.
func (a answer) code() string {
	var r struct {
		Code string `json:"code"`
	}
	_ = json.Unmarshal([]byte(a.body), &r) // An answer of an upstream has no code.

	return r.Code
}

// request is one request of a caller.
type request struct {
	method string
	path   string
	key    string
	token  string
	// fields holds further header fields as alternating names and values.
	fields []string
	body   string
}

// send sends a request with the client and reads the whole answer.
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

// newClient returns a client that shares no connections with other clients.
func newClient(t *testing.T) *http.Client {
	t.Helper()
	tr := &http.Transport{
		MaxIdleConnsPerHost: 64,
	}
	t.Cleanup(tr.CloseIdleConnections)

	return &http.Client{
		Transport: tr,
		Timeout:   waitTimeout,
	}
}

// putJSON sends v to a stand-in by PUT, and requires status 200.
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

// getJSON decodes the JSON body at a URL into v.
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

// command runs one of the built programs until it exits, and returns its exit
// code and its combined output.
func command(t *testing.T, program string, args ...string) (code int, output string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, filepath.Join(binaries, program), args...)
	out, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		t.Fatal(err)
	}

	return cmd.ProcessState.ExitCode(), string(out)
}

// digest returns the digest of a key, as a manifest lists it.
func digest(key string) string { return keyer.Digest(key) }

// runsOf returns the requests that an upstream has recorded as run.
func runsOf(t *testing.T, address string) []standin.Run {
	t.Helper()
	var runs []standin.Run
	if err := getJSON("http://"+address+"/_standin/runs", &runs); err != nil {
		t.Fatal(err)
	}

	return runs
}
