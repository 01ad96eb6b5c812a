package outcome

import (
	"net/http"
	"testing"
	"time"

	"crocuswing/internal/forward/reply"

	"github.com/stretchr/testify/require"
)

func newOutcome(status, missing int, latency time.Duration) Outcome {
	return Outcome{Reply: reply.Reply{Status: status, Missing: missing}, Latency: latency}
}

func TestWorth(t *testing.T) {
	const objective = 100 * time.Millisecond
	for _, c := range []struct {
		name string
		all  []Outcome
		want float64
	}{
		{"complete and in time", []Outcome{newOutcome(http.StatusOK, 0, objective)}, 1},
		{"half of the parts", []Outcome{newOutcome(http.StatusOK, 5, 0)}, 0.25},
		{"late", []Outcome{newOutcome(http.StatusOK, 0, objective+1)}, 0.1},
		{"late and half", []Outcome{newOutcome(http.StatusOK, 5, time.Second)}, 0.025},
		{"refused", []Outcome{newOutcome(http.StatusServiceUnavailable, 0, 0)}, 0},
		{"mean", []Outcome{newOutcome(http.StatusOK, 0, 0), newOutcome(http.StatusGatewayTimeout, 0, 0)}, 0.5},
	} {
		t.Run(c.name, func(t *testing.T) { require.InDelta(t, c.want, Worth(c.all, 10, objective), 1e-9) })
	}
}

func TestQuantile(t *testing.T) {
	var all []Outcome
	for n := 100; n > 0; n-- {
		all = append(all, newOutcome(http.StatusOK, 0, time.Duration(n)))
	}
	require.EqualValues(t, 50, Quantile(all, 0.5))
	require.EqualValues(t, 99, Quantile(all, 0.99))
	require.EqualValues(t, 100, Quantile(all, 1))
	require.Zero(t, Quantile(nil, 0.5))
	require.Equal(t, 10, Count(all, func(o Outcome) bool { return o.Latency <= 10 }))
}
