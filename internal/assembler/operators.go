package assembler

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// headerTimeout bounds the reading of a request header by the operators' listener.
const headerTimeout = 5 * time.Second

// operatorServer is the controller that serves readiness, liveness, status and metrics
// to operators and to the platform's load balancer.
type operatorServer struct {
	ln     net.Listener
	server *http.Server
}

// newOperatorServer returns a server of the handler on the listener.
func newOperatorServer(ln net.Listener, handler http.Handler) *operatorServer {
	return &operatorServer{
		ln: ln,
		server: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: headerTimeout,
		},
	}
}

// operatorHandler returns the handler of the paths for operators.
func (v *VM) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", readyHandler(v.Ready))
	mux.HandleFunc("GET /live", serveLive)
	mux.HandleFunc("GET /status", v.serveStatus)
	mux.HandleFunc("GET /targets", v.serveTargets)
	mux.HandleFunc("GET /rates", v.serveRates)
	mux.HandleFunc("GET /metrics", v.serveMetrics)

	return mux
}

// Name returns the controller's name.
func (o *operatorServer) Name() string { return "operators" }

// Run serves until ctx ends.
func (o *operatorServer) Run(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() {
		failed <- o.server.Serve(o.ln)
	}()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serving operators")
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()

	return errors.Wrap(o.server.Shutdown(stop), "stopping the operators' listener")
}

// readyHandler returns a handler that answers with status 200 while ready returns
// true, and with 503 otherwise.
func readyHandler(ready func() bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)

			return
		}
		_, _ = w.Write([]byte("ready\n")) // The client may have disconnected.
	}
}

func serveLive(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("live\n")) // The client may have disconnected.
}

type statusJSON struct {
	ID      string `json:"id"`
	Version int64  `json:"version"`
	Ready   bool   `json:"ready"`
	// Next is the offset of the next record of the configuration stream.
	Next int64 `json:"next"`
	// Fresh is true while the configuration is recent enough to decide about requests
	// with a key.
	Fresh   bool `json:"fresh"`
	Members int  `json:"members"`
	// Epoch is the number of the epoch of the membership.
	Epoch uint64 `json:"epoch"`
	// Ranges is the number of ranges that this VM may act on now.
	Ranges int    `json:"ranges"`
	Time   string `json:"time"`
}

func (v *VM) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(statusJSON{ // The client may have disconnected.
		ID:      v.settings.ID(),
		Version: int64(v.follower.Manifest().Version()),
		Ready:   v.Ready(),
		Next:    int64(v.follower.Position().Next()),
		Fresh:   v.timers.Now().Before(v.follower.FreshUntil()),
		Members: v.memberCount(),
		Epoch:   v.member.View().Epoch(),
		Ranges:  v.member.ActiveCount(),
		Time:    time.Now().UTC().Format(time.RFC3339Nano),
	})
}

func (v *VM) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	v.meter.WriteJSON(w)
}
