// Package handler serves the HTTP endpoints for operators: status, readiness, metrics and profiles.
package handler

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"

	"crocuswing/internal/operator/metric"
	"crocuswing/internal/operator/status"
)

// Source provides the status of the instance.
type Source interface {
	Status() status.Status
}

// New returns the HTTP handler for the operator address.
func New(s Source, m *metric.Metrics) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeStatus(w, s.Status()) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) { writeReady(w, s.Status()) })
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { m.Write(w) })
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	return mux
}

func writeStatus(w http.ResponseWriter, s status.Status) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(s)
}

func writeReady(w http.ResponseWriter, s status.Status) {
	if !s.Ready {
		http.Error(w, s.NotReadyReason, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}
