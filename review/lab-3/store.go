package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	pageItems    = 500
	pageBytes    = 1 << 20
	maxWatchWait = 30 * time.Second
	historyTime  = 20 * time.Second // historyS of the settings
)

// event is a change that the store still remembers.
type event struct {
	item
	at time.Time
}

// item is the state of one key after it was written or removed.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	CreateRev int64  `json:"createRev,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in for the metadata store of the platform, as PROTOCOL.md describes it. It remembers changes for historyTime.
type store struct {
	address string
	server  *http.Server

	mu       sync.Mutex
	revision int64
	items    map[string]item
	events   []event
	dropped  int64         // revision of the newest change that is no longer remembered
	changed  chan struct{} // closed by the next write
}

// newStore starts an empty store.
func newStore() *store {
	s := &store{revision: 1, items: map[string]item{}, changed: make(chan struct{})}
	l := listen("127.0.0.1:0")
	s.address = l.Addr().String()
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s
}

// putBytes writes a value that need not be JSON and returns when the store has acknowledged it.
func (s *store) putBytes(key string, value []byte) time.Time {
	return s.write(item{Key: key, Value: value})
}

// put writes a value and returns when the store has acknowledged it.
func (s *store) put(key string, value any) time.Time {
	text, err := json.Marshal(value)
	check(err)
	return s.write(item{Key: key, Value: text})
}

func (s *store) write(i item) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.Revision, i.CreateRev = s.revision, s.revision
	if old, ok := s.items[i.Key]; ok {
		i.CreateRev = old.CreateRev
	}
	if i.Tombstone {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	now := time.Now()
	s.events = append(s.events, event{item: i, at: now})
	close(s.changed)
	s.changed = make(chan struct{})
	return now
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	w.Header().Set("Content-Type", "application/json")
	q := r.URL.Query()
	switch r.URL.Path {
	case "/v1/kv-key":
		s.mu.Lock()
		defer s.mu.Unlock()
		i, ok := s.items[q.Get("key")]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(map[string]any{
			"key": i.Key, "value": i.Value, "revision": i.Revision, "createRev": i.CreateRev, "lease": 0, "storeRevision": s.revision,
		})
	case "/v1/kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case "/v1/kv-watch":
		after, err := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, waitErr := strconv.Atoi(q.Get("waitMs"))
		if err != nil || waitErr != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.serveWatch(w, r, q.Get("prefix"), after, min(time.Duration(wait)*time.Millisecond, maxWatchWait))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	n, size := 0, 0
	for n < len(items) && n < pageItems && (n == 0 || size+len(items[n].Value) <= pageBytes) {
		size += len(items[n].Value)
		n++
	}
	truncated := n < len(items)
	items = items[:n]
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "truncated": truncated, "storeRevision": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		for len(s.events) > 0 && time.Since(s.events[0].at) > historyTime {
			s.dropped = s.events[0].Revision
			s.events = s.events[1:]
		}
		events, revision, dropped, changed := []item{}, s.revision, s.dropped, s.changed
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e.item)
			}
		}
		s.mu.Unlock()
		if after > revision || after < dropped {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || wait == 0 {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func listen(address string) net.Listener {
	l, err := net.Listen("tcp", address)
	check(err)
	return l
}
