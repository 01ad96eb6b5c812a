package gateway

import (
	"net/http"
	"runtime/debug"
	"testing"

	"crocuswing/internal/forward/runner"
	"crocuswing/internal/settings/deployment"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// TestReloadWithoutMemory guards against a memory limit of 0, with which the garbage collector runs without end, after a reload of settings
// that do not state the memory of the instance.
func TestReloadWithoutMemory(t *testing.T) {
	former := debug.SetMemoryLimit(-1)
	defer debug.SetMemoryLimit(former)
	ports := Ports{NewHandler: func(*runner.Runner) http.Handler { return http.NotFoundHandler() }}
	g := New(deployment.Settings{}, ports, zap.NewNop())
	g.Reload(deployment.Settings{})
	require.Equal(t, former, debug.SetMemoryLimit(-1))
	memory := int64(1 << 30)
	g.Reload(deployment.Settings{MemoryBytes: memory})
	require.Equal(t, int64(memoryLimitShare*float64(memory)), debug.SetMemoryLimit(-1))
}
