package pool

import (
	"context"
	"flag"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/standin/network"
	"crocuswing/internal/upstream/connection"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	addressA = "10.0.0.1:80"
	addressB = "10.0.0.2:80"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// TestNeverExceedsMaxConnections runs random sequences of operations and compares the pool's count with that of an upstream that
// counts each connection until it has seen the close. The struct hides Deadline, which synctest does not permit.
func TestNeverExceedsMaxConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ testing.TB }{t}, func(t *rapid.T) {
			const limit = 6
			m := newModel(t, limit)
			t.Repeat(map[string]func(*rapid.T){
				"acquire": m.acquire,
				"release": func(t *rapid.T) {
					if c := m.take(t); c != nil {
						m.pool.Release(c, rapid.Bool().Draw(t, "healthy"))
					}
				},
				"abandon": m.abandon,
				"move": func(t *rapid.T) {
					m.pool.SetAddress(rapid.SampledFrom([]string{addressA, addressB}).Draw(t, "address"))
				},
				"share": func(t *rapid.T) { m.pool.SetMaxConnections(rapid.IntRange(1, limit).Draw(t, "share")) },
				"leave": func(t *rapid.T) { m.pool.SetDraining(rapid.Bool().Draw(t, "draining")) },
				"wait":  func(t *rapid.T) { time.Sleep(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second) },
				"":      m.check,
			})
			m.stop()
		})
	})
}

type model struct {
	limit     int
	pool      *Pool
	listeners []*network.Listener
	held      []*connection.Connection
	carried   map[assignment]bool
}

// assignment is a connection that was handed out for a request.
type assignment struct {
	conn *connection.Connection
	id   string
}

func newModel(t *rapid.T, limit int) *model {
	net := network.New(time.Millisecond)
	m := &model{limit: limit, carried: make(map[assignment]bool), pool: New(addressA, rapid.IntRange(1, limit).Draw(t, "share"), net.Dial)}
	for _, address := range []string{addressA, addressB} {
		l := net.Listen(address, limit)
		m.listeners = append(m.listeners, l)
		go serve(l)
	}
	return m
}

// serve closes each connection after its client has closed it, as an upstream does.
func serve(l *network.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			_, _ = conn.Read(make([]byte, 1))
			_ = conn.Close()
		}()
	}
}

func (m *model) acquire(t *rapid.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	id := rapid.SampledFrom([]string{"q1", "q2", "q3", "q4"}).Draw(t, "id")
	if c, err := m.pool.Acquire(ctx, id); err == nil {
		require.False(t, m.carried[assignment{c, id}], "the connection has carried a request with this identifier")
		m.carried[assignment{c, id}] = true
		m.held = append(m.held, c)
	}
}

func (m *model) take(t *rapid.T) *connection.Connection {
	if len(m.held) == 0 {
		return nil
	}
	n := rapid.IntRange(0, len(m.held)-1).Draw(t, "held")
	c := m.held[n]
	m.held = append(m.held[:n], m.held[n+1:]...)
	return c
}

// abandon sometimes stalls a connection for real, so that the upstream keeps counting it.
func (m *model) abandon(t *rapid.T) {
	c := m.take(t)
	if c == nil {
		return
	}
	if rapid.Bool().Draw(t, "stalled") {
		l := rapid.SampledFrom(m.listeners).Draw(t, "listener")
		if conns := l.Conns(); len(conns) > 0 {
			conns[len(conns)-1].Stall()
		}
	}
	m.pool.Abandon(c, time.Now().Add(-time.Second))
	m.pool.Release(c, false)
}

func (m *model) check(t *rapid.T) {
	synctest.Wait()
	s := m.pool.Stats()
	require.LessOrEqual(t, s.Connections, m.limit)
	require.LessOrEqual(t, s.Idle+len(m.held), s.Connections)
	for _, l := range m.listeners {
		require.Zero(t, l.RefusedDials())
	}
}

func (m *model) stop() {
	for _, c := range m.held {
		m.pool.Release(c, false)
	}
	m.pool.Close()
	for _, l := range m.listeners {
		_ = l.Close()
		for _, c := range l.Conns() {
			_ = c.Close()
		}
	}
	time.Sleep(2 * connection.LingerTimeout)
}

// resetConn is a connection that the upstream has reset.
type resetConn struct{ net.Conn }

func (resetConn) CloseWrite() error { return syscall.ECONNRESET }

// TestConnectionEndsWhileAdded checks that a connection that the upstream resets at once is no longer counted. The race detector reports
// a callback that uses the connection before the pool has it.
func TestConnectionEndsWhileAdded(t *testing.T) {
	for range 200 {
		synctest.Test(t, func(t *testing.T) {
			p := New(addressA, 2, func(context.Context, string) (net.Conn, error) {
				client, server := net.Pipe()
				_ = server.Close()
				return resetConn{client}, nil
			})
			require.True(t, p.Preconnect(1))
			synctest.Wait()
			require.Zero(t, p.Stats().Connections)
			p.Close()
		})
	}
}
