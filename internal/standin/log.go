package standin

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	maxRecordBytes = 8 << 20
	// batchRecords bounds the records of one response.
	batchRecords = 1000
)

// LogFaults are the faults of the log stand-in, as set by PUT /faults.
type LogFaults struct {
	// Down refuses appends and reads with status 503.
	Down bool `json:"down"`
	// SlowMs delays appends and reads.
	SlowMs int `json:"slowMs"`
	// LoseAnswers is the number of the next appends whose record is stored but whose
	// connection is closed without a response.
	LoseAnswers int `json:"loseAnswers"`
}

// Log is a stand-in for the platform's log that keeps its records in memory.
type Log struct {
	mu      sync.Mutex
	streams map[string]*stream
	faults  LogFaults
}

type stream struct {
	// first is the offset of records[0].
	first   int64
	records [][]byte
	// appended is closed and replaced on each append.
	appended chan struct{}
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{
		streams: map[string]*stream{},
	}
}

// Handler returns the HTTP interface.
func (l *Log) Handler() Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{name}/records", l.append)
	mux.HandleFunc("GET /streams/{name}/records", l.read)
	mux.HandleFunc("POST /streams/{name}/expire", l.expire)
	mux.HandleFunc("PUT /faults", l.setFaults)

	return mux
}

// SetFaults replaces the faults.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

func (l *Log) setFaults(w http.ResponseWriter, r *http.Request) {
	var f LogFaults
	if readJSON(w, r, &f) {
		l.SetFaults(f)
	}
}

// stream returns the stream with the name and creates it if needed; the lock must be
// held.
func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{
			appended: make(chan struct{}),
		}
		l.streams[name] = s
	}

	return s
}

// applyFaults applies SlowMs and Down to a call and reports whether the call continues.
func (l *Log) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	l.mu.Lock()
	f := l.faults
	l.mu.Unlock()
	if f.SlowMs > 0 {
		select {
		case <-time.After(time.Duration(f.SlowMs) * time.Millisecond):
		case <-r.Context().Done():
			return false
		}
	}
	if f.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)

		return false
	}

	return true
}

func (l *Log) append(w http.ResponseWriter, r *http.Request) {
	if !l.applyFaults(w, r) {
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return
	}
	l.mu.Lock()
	s := l.stream(r.PathValue("name"))
	s.records = append(s.records, data)
	offset := s.first + int64(len(s.records)) - 1
	close(s.appended)
	s.appended = make(chan struct{})
	loseResponse := l.faults.LoseAnswers > 0
	if loseResponse {
		l.faults.LoseAnswers--
	}
	l.mu.Unlock()
	if loseResponse {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, appendedJSON{Offset: offset})
}

type appendedJSON struct {
	Offset int64 `json:"offset"`
}

type recordJSON struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

type batchJSON struct {
	Records []recordJSON `json:"records"`
	First   int64        `json:"first"`
	Head    int64        `json:"head"`
}

func (l *Log) read(w http.ResponseWriter, r *http.Request) {
	if !l.applyFaults(w, r) {
		return
	}
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from must be an offset", http.StatusBadRequest)

		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs")) // Without waitMs the read does not wait.
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		batch, appended := l.batch(r.PathValue("name"), from)
		if len(batch.Records) > 0 || from < batch.First {
			writeJSON(w, batch)

			return
		}
		select {
		case <-appended:
		case <-timeout:
			writeJSON(w, batch)

			return
		case <-r.Context().Done():
			return
		}
	}
}

func (l *Log) batch(name string, from int64) (batchJSON, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	b := batchJSON{
		First: s.first,
		Head:  s.first + int64(len(s.records)),
	}
	for o := from; o >= s.first && o < b.Head && len(b.Records) < batchRecords; o++ {
		b.Records = append(b.Records, recordJSON{
			Offset: o,
			Data:   s.records[o-s.first],
		})
	}

	return b, s.appended
}

// expire removes the records before an offset, like the retention of the real log.
func (l *Log) expire(w http.ResponseWriter, r *http.Request) {
	before, err := strconv.ParseInt(r.URL.Query().Get("before"), 10, 64)
	if err != nil {
		http.Error(w, "before must be an offset", http.StatusBadRequest)

		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(r.PathValue("name"))
	for s.first < before && len(s.records) > 0 {
		s.records = s.records[1:]
		s.first++
	}
}
