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

const patience = 20 * time.Second

// TestMain runs as the program under test if it is told to.
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

func newProcess(t *testing.T, how string) (*Process, chan string) {
	ended := make(chan string, 1)
	p, err := New([]string{os.Args[0], "child", how}, filepath.Join(t.TempDir(), "log"), func(detail string) { ended <- detail })
	require.NoError(t, err)
	t.Cleanup(p.Close)
	return p, ended
}

func TestKillAndStartAgain(t *testing.T) {
	p, ended := newProcess(t, "waits")
	for n := 1; n <= 2; n++ {
		require.NoError(t, p.Start())
		require.NoError(t, p.Start(), "it runs already")
		require.Equal(t, n, p.Starts())
		p.Signal(syscall.SIGSTOP)
		p.Signal(syscall.SIGKILL)
		code, ok := p.Wait(patience)
		require.True(t, ok)
		require.Equal(t, -1, code)
	}
	require.Empty(t, ended)
}

func TestEndsByItself(t *testing.T) {
	p, ended := newProcess(t, "ends")
	require.NoError(t, p.Start())
	code, ok := p.Wait(patience)
	require.True(t, ok)
	require.Equal(t, 3, code)
	require.Contains(t, <-ended, "exit status 3")
}
