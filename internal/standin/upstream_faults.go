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
	// CrashField is the header field of requests that end the process of the target.
	CrashField = "Test-Crash"
	// crashExitCode is the exit code of a target that such a request ended.
	crashExitCode = 70
	// RunPrefix is the start of the line that a target prints for each run.
	RunPrefix = "run "
)

// PrintRuns makes the target write a line with the token of each run to w, so that the
// record is not lost when the process ends.
func (u *Upstream) PrintRuns(w io.Writer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runLog = w
}

// printRun writes the line of a run; the lock must be held.
func (u *Upstream) printRun(token string) {
	if u.runLog != nil {
		_, _ = fmt.Fprintln(u.runLog, RunPrefix+token) // The reader may be closed.
	}
}

// crash ends the process if the request carries CrashField.
func crash(r *http.Request) {
	if r.Header.Get(CrashField) != "" {
		os.Exit(crashExitCode)
	}
}

// sendFaultyResponse sends a truncated, doubled or no response in the shares that the faults
// set, and reports whether it did.
func (u *Upstream) sendFaultyResponse(w http.ResponseWriter, r *http.Request, f UpstreamFaults) bool {
	if f.CutShare+f.DoubleShare+f.ResetShare == 0 {
		return false
	}
	body := fmt.Sprintf(`{"target":%q,"token":%q}`, u.name, r.Header.Get("Test-Token"))
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nTest-Token: %s\r\n\r\n%s", len(body), r.Header.Get("Test-Token"), body)
	draw := rand.Float64() //nolint:gosec // Draws a fault, not a secret.
	switch {
	case draw < f.CutShare:
		writeRaw(w, response[:len(response)-len(body)/2], false)
	case draw < f.CutShare+f.DoubleShare:
		writeRaw(w, response+response, false)
	case draw < f.CutShare+f.DoubleShare+f.ResetShare:
		writeRaw(w, "", true)
	default:
		return false
	}

	return true
}

// writeRaw writes the text to the connection of a request and closes the connection,
// with a TCP reset if reset is set.
func writeRaw(w http.ResponseWriter, text string, reset bool) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close() //nolint:errcheck // The caller sees that the connection is closed.
	if tcp, ok := conn.(*net.TCPConn); ok && reset {
		_ = tcp.SetLinger(0) // Close then sends a reset instead of a FIN.
	}
	_, _ = io.WriteString(conn, text) // The caller may have disconnected.
}

// Counts holds the numbers of requests that a target ran and refused.
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
