package rig

import (
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

// record is one record of a keyed topic.
type record struct {
	key   string
	value []byte
}

// keyedTopic is one keyed topic with one partition.
type keyedTopic struct {
	records  []record
	newest   map[string]int
	appended chan struct{}
}

// Store is a stand-in for the platform's store. It loses nothing and is always up.
type Store struct {
	mu     sync.Mutex
	topics map[string]*keyedTopic
	// Address is where the store listens.
	Address string
}

// NewStore starts a store on a free loopback port.
func NewStore() *Store {
	s := &Store{topics: map[string]*keyedTopic{}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s.Address = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/log-newest", s.readNewest)
	mux.HandleFunc("GET /v1/log-read", s.readChanges)
	mux.HandleFunc("POST /v1/log-append", s.appendRecords)
	go func() {
		_ = http.Serve(ln, mux) // Ends with the process.
	}()
	return s
}

// topic returns the topic; the lock must be held.
func (s *Store) topic(name string) *keyedTopic {
	t, ok := s.topics[name]
	if !ok {
		t = &keyedTopic{newest: map[string]int{}, appended: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// Put appends a record; a nil value removes the key.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(s.topic(topic), key, value)
}

func (s *Store) put(t *keyedTopic, key string, value []byte) {
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = len(t.records)
	}
	t.records = append(t.records, record{key: key, value: value})
	close(t.appended)
	t.appended = make(chan struct{})
}

// maxPageItems is the number of items of one page of newest records.
const maxPageItems = 500

func (s *Store) readNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	page := struct {
		Items     []item `json:"items"`
		HasMore   bool   `json:"hasMore"`
		EndOffset int    `json:"endOffset"`
	}{Items: []item{}}
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	page.EndOffset = len(t.records)
	for k, i := range t.newest {
		if k > after {
			page.Items = append(page.Items, item{Key: k, Value: base64.StdEncoding.EncodeToString(t.records[i].value), Offset: i})
		}
	}
	s.mu.Unlock()
	sort.Slice(page.Items, func(i, j int) bool { return page.Items[i].Key < page.Items[j].Key })
	if len(page.Items) > maxPageItems {
		page.Items, page.HasMore = page.Items[:maxPageItems], true
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(page)
}

func (s *Store) readChanges(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		if len(t.records) > from || !waiting {
			data := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
			data = binary.BigEndian.AppendUint64(data, 0)
			for _, x := range t.records[min(from, len(t.records)):] {
				data = binary.BigEndian.AppendUint32(data, uint32(1+len(x.key)+len(x.value)))
				data = append(append(append(data, byte(len(x.key))), x.key...), x.value...)
			}
			s.mu.Unlock()
			_, _ = w.Write(data)
			return
		}
		appended := t.appended
		s.mu.Unlock()
		select {
		case <-appended:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) appendRecords(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	first := len(t.records)
	for len(data) >= 4 {
		n := int(binary.BigEndian.Uint32(data))
		content := data[4 : 4+n]
		data = data[4+n:]
		k := int(content[0])
		s.put(t, string(content[1:1+k]), append([]byte(nil), content[1+k:]...))
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": first, "endOffset": len(t.records)})
}
