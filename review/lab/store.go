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
)

// store is a stand-in for the platform's metadata store. It keeps all history, so that no watch gets 410.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]storeItem
	events   []storeItem
	address  string // of the newest listener
	server   *http.Server
}

type storeItem struct {
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	CreateRev int64  `json:"createRev,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func newStore() (*store, error) {
	s := &store{revision: 10, items: make(map[string]storeItem)}
	return s, s.listen()
}

// listen makes the store reachable at one more address, which becomes its address.
func (s *store) listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-range", s.serveRange)
	mux.HandleFunc("GET /v1/kv-watch", s.serveWatch)
	s.address, s.server = l.Addr().String(), &http.Server{Handler: mux}
	go func(server *http.Server) { _ = server.Serve(l) }(s.server)
	return nil
}

// put writes a value, encoded as JSON.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.CreateRev
	}
	i := storeItem{Key: key, Value: base64.StdEncoding.EncodeToString(text), Revision: s.revision, CreateRev: created}
	s.items[key] = i
	s.events = append(s.events, i)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.events = append(s.events, storeItem{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []storeItem{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	writeJSON(w, map[string]any{"items": items, "truncated": false, "storeRevision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	s.mu.Lock()
	events := []storeItem{}
	for _, e := range s.events {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	writeJSON(w, map[string]any{"events": events, "storeRevision": revision})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
