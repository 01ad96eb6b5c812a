package reload

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

func TestWatch(t *testing.T) {
	file := filepath.Join(t.TempDir(), "f")
	write := func(text string) { require.NoError(t, os.WriteFile(file, []byte(text), 0o600)) }
	write("first")
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		signals := make(chan os.Signal)
		var mu sync.Mutex
		var applied []string
		seen := func() []string {
			mu.Lock()
			defer mu.Unlock()
			return append([]string(nil), applied...)
		}
		var group sync.WaitGroup
		group.Go(func() {
			Watch(ctx, file, signals, zap.NewNop(), func(text []byte) error {
				mu.Lock()
				defer mu.Unlock()
				applied = append(applied, string(text))
				if string(text) == "bad" {
					return errors.New("bad")
				}
				return nil
			})
		})
		time.Sleep(10*time.Second + checkInterval/2) // between two checks
		signals <- os.Interrupt
		synctest.Wait()
		require.Empty(t, seen(), "nothing has changed")
		write("second")
		signals <- os.Interrupt
		synctest.Wait()
		require.Equal(t, []string{"second"}, seen())
		write("bad")
		time.Sleep(checkInterval)
		require.NoError(t, os.Remove(file))
		time.Sleep(checkInterval)
		write("third")
		time.Sleep(2 * checkInterval)
		require.Equal(t, []string{"second", "bad", "third"}, seen(), "each change once, with and without a signal")
		cancel()
		group.Wait()
	})
}
