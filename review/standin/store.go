package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's metadata store: items by key, and their history.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	reader   int       // the instance that was told of changes last
	readAt   time.Time // when it was
}

// item is an item as the store returns it.
type item struct {
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	CreateRev int64  `json:"createRev,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// answerTime is the time that the store takes for an answer.
const answerTime = 4 * time.Millisecond

func newStore() *store {
	s := &store{revision: 100, items: make(map[string]item)}
	return s
}

// listen returns the address of the store for an instance.
func (s *store) listen(instance int) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.getKey)
	mux.HandleFunc("GET /v1/kv-range", s.getRange)
	mux.HandleFunc("GET /v1/kv-watch", func(w http.ResponseWriter, r *http.Request) {
		s.watch(w, r, instance)
	})
	go func() { _ = http.Serve(l, mux) }()
	return l.Addr().String()
}

// put writes a value and returns when the store has accepted it.
func (s *store) put(key string, value any) time.Time {
	text, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := item{Key: key, Value: base64.StdEncoding.EncodeToString(text), Revision: s.revision, CreateRev: s.revision}
	if old, ok := s.items[key]; ok {
		i.CreateRev = old.CreateRev
	}
	s.items[key] = i
	s.history = append(s.history, i)
	return time.Now()
}

// remove removes a key and returns when the store has accepted it.
func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.revision++
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.revision, Tombstone: true})
	}
	return time.Now()
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		item
		StoreRevision int64 `json:"storeRevision"`
	}{i, s.revision})
}

// pageItems is the number of items in a page.
const pageItems = 50

func (s *store) getRange(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	page := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page = append(page, i)
		}
	}
	sort.Slice(page, func(a, b int) bool { return page[a].Key < page[b].Key })
	truncated := len(page) > pageItems
	if truncated {
		page = page[:pageItems]
	}
	writeJSON(w, map[string]any{"items": page, "truncated": truncated, "storeRevision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, instance int) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	time.Sleep(answerTime)
	for {
		s.mu.Lock()
		events, revision := []item{}, s.revision
		from := sort.Search(len(s.history), func(n int) bool { return s.history[n].Revision > after })
		for _, i := range s.history[from:] {
			if strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		if len(events) > 0 {
			s.reader, s.readAt = instance, time.Now()
		}
		s.mu.Unlock()
		if len(events) > 0 || !time.Now().Before(end) {
			writeJSON(w, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// awaitReader returns the instance that is the first to be told of changes made after the given time.
func (s *store) awaitReader(since time.Time) int {
	for {
		s.mu.Lock()
		reader, at := s.reader, s.readAt
		s.mu.Unlock()
		if at.After(since) {
			return reader
		}
		time.Sleep(time.Millisecond)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
