package assembler

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/lagoonkeel/lagoonkeel/internal/forecaster"
)

// newForecaster returns the part that tells where a request would go.
func (v *StoreVM) newForecaster() *forecaster.Forecaster {
	s := forecaster.Spec{
		Manifests:    v.adopter,
		Readiness:    v,
		Closer:       v,
		Splitter:     v.splitter,
		Quarantine:   v.quarantine,
		Limits:       v.tallier,
		Targets:      v.placer,
		Registry:     v.registrar,
		Retries:      v.retries,
		TimeoutField: v.dialect.Timeout(),
		Clock:        v.timers,
	}
	if v.spacing != nil {
		s.Retries = v.spacing.retries
	}
	if v.queue != nil {
		s.Queue = v.queue
		s.Rooms = v.rooms
	}
	if v.hedger != nil {
		s.Hedges = v.hedger
	}

	return forecaster.New(s)
}

// withWhere adds the path that tells where a request would go to the paths for operators.
// The listener for metrics, which other systems read, does not have it.
func (v *StoreVM) withWhere(common http.Handler) http.Handler {
	f := v.newForecaster()
	mux := http.NewServeMux()
	mux.Handle("/", common)
	mux.HandleFunc("GET /where", func(w http.ResponseWriter, r *http.Request) { v.serveWhere(w, r, f) })

	return mux
}

func (v *StoreVM) serveWhere(w http.ResponseWriter, r *http.Request, f *forecaster.Forecaster) {
	query := r.URL.Query()
	path, _, _ := strings.Cut(query.Get("path"), "?")
	if !strings.HasPrefix(path, "/") {
		http.Error(w, "name the path of the request, which begins with /, with ?path=", http.StatusBadRequest)

		return
	}
	request := forecaster.Request{
		Method: http.MethodGet,
		Host:   query.Get("host"),
		Path:   path,
		Team:   query.Get("team"),
	}
	if query.Has("method") {
		request.Method = query.Get("method")
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(newWhereJSON(v.settings.ID(), f.Forecast(r.Context(), request))) // The client may have disconnected.
}
