// Package metric collects the metrics of one instance and writes them in the Prometheus text format.
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

// New returns an empty set of metrics.
func New() *Metrics { return &Metrics{set: metrics.NewSet()} }

// Observe records the duration of one request by caller, class and kind, and counts it as refused unless ok is set.
func (m *Metrics) Observe(caller, class, kind string, duration time.Duration, ok bool) {
	labels := fmt.Sprintf(`{caller=%q,class=%q,kind=%q}`, caller, class, kind)
	m.set.GetOrCreateHistogram("crocuswing_request_duration_seconds" + labels).Update(duration.Seconds())
	if !ok {
		m.set.GetOrCreateCounter("crocuswing_refusals_total" + labels).Inc()
	}
}

// Count increments the named counter. The name may include labels.
func (m *Metrics) Count(name string) { m.set.GetOrCreateCounter(name).Inc() }

// Gauge registers a gauge whose value is read each time the metrics are written.
func (m *Metrics) Gauge(name string, read func() float64) { m.set.GetOrCreateGauge(name, read) }

// Write writes all metrics, including those of the process, in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
