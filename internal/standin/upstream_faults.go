package standin

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
)

const (
	// CrashField marks a request that ends the process of the target.
	CrashField = "Test-Crash"
	// crashCode is the exit code of a target that a request ended.
	crashCode = 70
	// RunPrefix starts the line that a target prints for each run.
	RunPrefix = "run "
)

// PrintRuns has the target write a line with the token of each run, so that
// the record outlasts the process.
func (u *Upstream) PrintRuns(w io.Writer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.journal = w
}

// print writes the line of a run; the lock must be held.
func (u *Upstream) print(token string) {
	if u.journal != nil {
		_, _ = fmt.Fprintln(u.journal, RunPrefix+token) // The reader may have gone.
	}
}

// crash ends the process if the request is marked.
func crash(r *http.Request) {
	if r.Header.Get(CrashField) != "" {
		os.Exit(crashCode)
	}
}

// spoil cuts, doubles or drops the answer by the shares of the faults, and
// reports whether it did.
func (u *Upstream) spoil(w http.ResponseWriter, r *http.Request, f UpstreamFaults) bool {
	if f.CutShare+f.DoubleShare+f.ResetShare == 0 {
		return false
	}
	body := fmt.Sprintf(`{"target":%q,"token":%q}`, u.name, r.Header.Get("Test-Token"))
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nTest-Token: %s\r\n\r\n%s", len(body), r.Header.Get("Test-Token"), body)
	draw := rand.Float64() //nolint:gosec // A stand-in needs no secret.
	switch {
	case draw < f.CutShare:
		raw(w, answer[:len(answer)-len(body)/2], false)
	case draw < f.CutShare+f.DoubleShare:
		raw(w, answer+answer, false)
	case draw < f.CutShare+f.DoubleShare+f.ResetShare:
		raw(w, "", true)
	default:
		return false
	}

	return true
}

// raw writes bytes to the connection of a request and closes it.
func raw(w http.ResponseWriter, text string, reset bool) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close() //nolint:errcheck // The caller sees the end.
	if tcp, ok := conn.(*net.TCPConn); ok && reset {
		_ = tcp.SetLinger(0) // Without it the end is an orderly one.
	}
	_, _ = io.WriteString(conn, text) // The caller may have gone.
}

// Counts are how many requests a target ran and refused.
type Counts struct {
	Runs    int `json:"runs"`
	Refused int `json:"refused"`
}

func (u *Upstream) listCounts(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	writeJSON(w, Counts{
		Runs:    len(u.runs),
		Refused: u.refused,
	})
}
