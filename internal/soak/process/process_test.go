package process

import (
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const waitTimeout = 20 * time.Second

// TestMain acts as the child program if the first argument is "child". In the mode "ends" the child exits with code 3 at once, in
// any other mode it exits with code 0 on SIGTERM.
func TestMain(m *testing.M) {
	if len(os.Args) > 2 && os.Args[1] == "child" {
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, syscall.SIGTERM)
		if os.Args[2] == "ends" {
			os.Exit(3)
		}
		<-stop
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// newProcess returns a process that runs this test binary as a child in the given mode, and the channel of its unexpected exits.
func newProcess(t *testing.T, mode string) (*Process, chan string) {
	exits := make(chan string, 1)
	p, err := New([]string{os.Args[0], "child", mode}, filepath.Join(t.TempDir(), "log"), func(detail string) { exits <- detail })
	require.NoError(t, err)
	t.Cleanup(p.Close)
	return p, exits
}

func TestKillAndRestart(t *testing.T) {
	p, exits := newProcess(t, "waits")
	for n := 1; n <= 2; n++ {
		require.NoError(t, p.Start())
		require.NoError(t, p.Start(), "the process is already running")
		require.Equal(t, n, p.Starts())
		p.Signal(syscall.SIGSTOP)
		p.Signal(syscall.SIGKILL)
		code, ok := p.Wait(waitTimeout)
		require.True(t, ok)
		require.Equal(t, -1, code)
	}
	require.Empty(t, exits)
}

func TestUnexpectedExit(t *testing.T) {
	p, exits := newProcess(t, "ends")
	require.NoError(t, p.Start())
	code, ok := p.Wait(waitTimeout)
	require.True(t, ok)
	require.Equal(t, 3, code)
	require.Contains(t, <-exits, "exit status 3")
}
