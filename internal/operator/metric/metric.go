// Package metric holds the metrics of one instance.
package metric

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics is the set of metrics of one instance. It is safe for concurrent use.
type Metrics struct {
	set *metrics.Set
}

// New makes an empty set.
func New() *Metrics { return &Metrics{set: metrics.NewSet()} }

// Observe records one request: its duration by caller, class and kind, and whether it was refused.
func (m *Metrics) Observe(caller, class, kind string, took time.Duration, ok bool) {
	labels := fmt.Sprintf(`{caller=%q,class=%q,kind=%q}`, caller, class, kind)
	m.set.GetOrCreateHistogram("crocuswing_request_duration_seconds" + labels).Update(took.Seconds())
	if !ok {
		m.set.GetOrCreateCounter("crocuswing_refusals_total" + labels).Inc()
	}
}

// Count adds one to the named counter; name may carry labels.
func (m *Metrics) Count(name string) { m.set.GetOrCreateCounter(name).Inc() }

// Gauge registers a gauge that is read when metrics are written.
func (m *Metrics) Gauge(name string, read func() float64) { m.set.GetOrCreateGauge(name, read) }

// Write writes all metrics in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
