package standin

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// The topics of the operator and of the targets.
const (
	configTopic  = "keyed.op"
	targetsTopic = "keyed.servers"
)

const (
	// pageItems is the number of items of one page of log-newest.
	pageItems = 500
	// maxReadBytes bounds the records of one read: the default of maxKb.
	maxReadBytes = 1024 << 10
	recordHead   = 4
)

// store is a stand-in for the platform's store, with topics of one partition each.
type store struct {
	ln      net.Listener
	handler http.Handler
	mu      sync.Mutex
	topics  map[string]*topic
	// silentUntil is when calls are answered again. A call that is open or arrives before
	// gets no answer.
	silentUntil time.Time
	// silenced is closed when a silence begins.
	silenced chan struct{}
	// polling is called for each read that waits.
	polling func(topic string, wait time.Duration)
}

// topic is one log of keyed records.
type topic struct {
	records [][]byte
	// newest maps each key that was not removed to its newest record.
	newest map[string]newestRecord
	// appended is closed and replaced by each append.
	appended chan struct{}
}

type newestRecord struct {
	value  []byte
	offset int
}

// startStore starts a store on a free loopback port.
func startStore() (*store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		ln:       ln,
		topics:   map[string]*topic{},
		silenced: make(chan struct{}),
		polling:  func(string, time.Duration) {},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.append)
	mux.HandleFunc("GET /v1/log-read", s.read)
	mux.HandleFunc("GET /v1/log-newest", s.readNewest)
	s.handler = mux
	go http.Serve(ln, mux)

	return s, nil
}

func (s *store) address() string { return s.ln.Addr().String() }

// silence leaves the calls that are open, and those that arrive within the time, without
// an answer.
func (s *store) silence(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentUntil = time.Now().Add(d)
	close(s.silenced)
	s.silenced = make(chan struct{})
}

// silentNow reports whether calls get no answer, and returns the channel that is closed
// when the next silence begins.
func (s *store) silentNow() (bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()

	return time.Now().Before(s.silentUntil), s.silenced
}

// topic returns the topic with the name; the lock must be held.
func (s *store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{
			newest:   map[string]newestRecord{},
			appended: make(chan struct{}),
		}
		s.topics[name] = t
	}

	return t
}

// put appends a record that sets the value of a key, unless it is the newest one already.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if bytes.Equal(t.newest[key].value, value) {
		return
	}
	t.add(append(append([]byte{byte(len(key))}, key...), value...))
}

// add appends a record: the length of its key, the key and the value.
func (t *topic) add(content []byte) {
	n := 1 + int(content[0])
	key, value := string(content[1:n]), content[n:]
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = newestRecord{
			value:  value,
			offset: len(t.records),
		}
	}
	t.records = append(t.records, content)
	close(t.appended)
	t.appended = make(chan struct{})
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if silent, _ := s.silentNow(); silent || err != nil {
		<-r.Context().Done()

		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	offset := len(t.records)
	for len(body) >= recordHead {
		end := recordHead + int(binary.BigEndian.Uint32(body))
		t.add(append([]byte(nil), body[recordHead:end]...))
		body = body[end:]
	}
	writeJSON(w, map[string]int{
		"offset":    offset,
		"endOffset": len(t.records),
	})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	wait := time.Duration(waitMs) * time.Millisecond
	silent, silenced := s.silentNow()
	if wait > 0 {
		s.polling(q.Get("topic"), wait)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waiting := true; ; {
		list, end, appended := s.since(q.Get("topic"), from)
		if !silent && (len(list) > 0 || !waiting) {
			w.Write(encodeRecords(list, end))

			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-silenced:
			silent = true
		case <-appended:
		case <-timer.C:
			waiting = false
		}
	}
}

// since returns the records from the offset on, the end of the topic, and the channel that
// is closed by the next append.
func (s *store) since(name string, from int) (list [][]byte, end int, appended <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	size := 0
	for _, x := range t.records[min(from, len(t.records)):] {
		if size += recordHead + len(x); size > maxReadBytes {
			break
		}
		list = append(list, x)
	}

	return list, len(t.records), t.appended
}

// encodeRecords returns the answer of a read: the end, the first offset and the records,
// each with its length before it.
func encodeRecords(list [][]byte, end int) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, x := range list {
		out = append(binary.BigEndian.AppendUint32(out, uint32(len(x))), x...)
	}

	return out
}

func (s *store) readNewest(w http.ResponseWriter, r *http.Request) {
	if silent, _ := s.silentNow(); silent {
		<-r.Context().Done()

		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	after := r.URL.Query().Get("after")
	var keys []string
	for k := range t.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items := []map[string]any{}
	for _, k := range keys[:min(len(keys), pageItems)] {
		items = append(items, map[string]any{
			"key":    k,
			"value":  base64.StdEncoding.EncodeToString(t.newest[k].value),
			"offset": t.newest[k].offset,
		})
	}
	writeJSON(w, map[string]any{
		"items":     items,
		"hasMore":   len(keys) > pageItems,
		"endOffset": len(t.records),
	})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}
