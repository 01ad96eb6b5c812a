package runner

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/standin/latecopy"

	"github.com/stretchr/testify/require"
)

// TestLateCopiesOfRefusals guards against requests that run twice, or on more upstreams than their route permits: an upstream sends a
// refusal again, late, where the response to the next attempt of the same request is due.
func TestLateCopiesOfRefusals(t *testing.T) {
	for _, c := range []struct {
		nonIdempotent bool
		replicas      int
		instances     int // with 20, this instance has a single connection to each upstream
	}{
		{nonIdempotent: true, replicas: 1, instances: 1},
		{nonIdempotent: true, replicas: 1, instances: 20},
		{nonIdempotent: true, replicas: 3, instances: 1},
		{nonIdempotent: false, replicas: 3, instances: 1},
		{nonIdempotent: false, replicas: 3, instances: 20},
	} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := orderShape()
				s.Replicas = c.replicas
				s.Route.NonIdempotent, s.Route.MaxAttempts = c.nonIdempotent, 1
				var mu sync.Mutex // the listeners of all replicas share what follows
				rng := rand.New(rand.NewPCG(1, 1))
				copies := 0
				isCopied := func(response []byte) bool {
					mu.Lock()
					defer mu.Unlock()
					if !bytes.Contains(response, []byte(names.NotRun)) || rng.IntN(2) > 0 {
						return false
					}
					copies++
					return true
				}
				s.WrapListener = func(l net.Listener) net.Listener { return latecopy.New(l, isCopied) }
				h := newHarness(t, s)
				defer h.stop()
				h.Catalog.SetInstanceCount(c.instances)
				for _, p := range h.AllReplicas() {
					p.SetShed(0.5)
				}
				outcomes := h.GenerateLoad(12, 20*time.Second, 1500*time.Millisecond, h.runner.Run)
				h.requireWithinAttempts(1)
				if c.nonIdempotent {
					h.requireAtMostOnce(outcomes)
				}
				require.Positive(t, copies)
			})
		})
	}
}
