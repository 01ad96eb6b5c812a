package connections

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/entry/budget"
	"crocuswing/internal/forward/request"
	"crocuswing/internal/routing/limits"
	"crocuswing/internal/standin/network"

	"github.com/stretchr/testify/require"
)

// published are the limits that the platform publishes.
var published = limits.Limits{MaxHeaderBytes: 16_384, MaxBodyBytes: 262_144, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// causeCounter counts connections that were closed by cause. It is safe for concurrent use.
type causeCounter struct {
	mu     sync.Mutex
	causes map[string]int
}

func (c *causeCounter) add(cause string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.causes == nil {
		c.causes = make(map[string]int)
	}
	c.causes[cause]++
}

func (c *causeCounter) all() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.causes)
}

// rig is a server on an in-memory network. Requests to /refused get a 404 without a look at their body, those to /large a large answer;
// the others get the length of their body.
type rig struct {
	*Connections
	closed causeCounter
	dial   func() net.Conn
}

func withRig(t *testing.T, l budget.Limits, test func(t *testing.T, r *rig)) {
	synctest.Test(t, func(t *testing.T) {
		n := network.New(time.Millisecond)
		r := &rig{}
		r.Connections = New(WithCounter(r.closed.add))
		r.SetBudget(l)
		r.SetLimits(published)
		server := &http.Server{Handler: http.HandlerFunc(r.serve)}
		r.Track(server)
		go func() { _ = server.Serve(r.Listen(n.Listen("a", 10_000))) }()
		ctx, cancel := context.WithCancel(t.Context())
		go r.Run(ctx)
		var opened []net.Conn
		r.dial = func() net.Conn {
			conn, err := n.Dial(ctx, "a")
			require.NoError(t, err)
			opened = append(opened, conn)
			return conn
		}
		test(t, r)
		for _, conn := range opened {
			_ = conn.Close()
		}
		_ = server.Close()
		cancel()
		time.Sleep(time.Minute)
		bytes, connections := r.Used()
		require.Zero(t, bytes, "all memory is returned")
		require.Zero(t, connections)
	})
}

func (r *rig) serve(w http.ResponseWriter, q *http.Request) {
	r.MarkServing(q)
	defer r.EndServing(q)
	if q.URL.Path == "/refused" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body, err := ReadBody(q)
	var invalid *request.BodyError
	if errors.As(err, &invalid) {
		w.WriteHeader(invalid.Status)
		return
	}
	_, _ = io.WriteString(w, strconv.Itoa(len(body)))
}

func send(t *testing.T, conn net.Conn, text string) {
	_, err := io.WriteString(conn, text)
	require.NoError(t, err)
}

// receive returns the status and the body of the next response.
func receive(t *testing.T, r *bufio.Reader) (int, string) {
	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, string(body)
}

const (
	start = "POST /x HTTP/1.1\r\nHost: a\r\n"
	chunk = "1000\r\n"
)

func fields(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// framings are requests that stop short of their end, with the least memory that they hold.
var framings = []struct {
	name, text string
	holds      int64
}{
	{"half a head", "POST /x HTTP/1.1\r\nHo", 0},
	{"large head", start + "A: " + strings.Repeat("x", 16_000), 16_000},
	{"fields", start + fields(2200), 2200 * 110},
	{"fields and no body", start + fields(2200) + "Content-Length: 9\r\n\r\n", 2200 * 110},
	{"length", start + "Content-Length: 262144\r\n\r\n" + strings.Repeat("x", 262_143), 262_144},
	{"length announced, little sent", start + "Content-Length: 262144\r\n\r\nx", 0},
	{"chunks", start + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk+strings.Repeat("x", 4096)+"\r\n", 63), 63 * 4096},
	{"chunk size", start + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("0", 2000), 0},
	{"pipelined fields", start + "Content-Length: 2\r\n\r\nok" + start + fields(500), 500 * 110},
	{"pipelined length", start + "Content-Length: 2\r\n\r\nok" + start + "Content-Length: 20000\r\n\r\n" + strings.Repeat("x", 19_999), 20_000},
}

// TestFramings guards against memory that a request holds and the budget does not count, and against a crowd of such requests that keeps
// out an ordinary one.
func TestFramings(t *testing.T) {
	for _, c := range framings {
		t.Run(c.name, func(t *testing.T) {
			withRig(t, budget.Limits{}, func(t *testing.T, r *rig) {
				conn := r.dial()
				send(t, conn, c.text)
				synctest.Wait()
				bytes, connections := r.Used()
				require.Equal(t, 1, connections)
				require.GreaterOrEqual(t, bytes, connectionBytes+c.holds)
				require.LessOrEqual(t, bytes, connectionBytes+3*c.holds+8<<10, "no more than a multiple of it is counted")
			})
			withRig(t, budget.Limits{Bytes: 4 << 20, Connections: 100}, func(t *testing.T, r *rig) {
				for range 300 {
					send(t, r.dial(), c.text)
				}
				synctest.Wait()
				bytes, connections := r.Used()
				require.LessOrEqual(t, bytes, int64(4<<20))
				require.LessOrEqual(t, connections, 100)
				conn := r.dial()
				send(t, conn, start+"Content-Length: 2\r\n\r\nok")
				status, body := receive(t, bufio.NewReader(conn))
				require.Equal(t, http.StatusOK, status)
				require.Equal(t, "2", body)
			})
		})
	}
}

// TestWithinLimits guards against a refusal of a single request that is within the published limits.
func TestWithinLimits(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"most header bytes", start + "A: " + strings.Repeat("x", 16_300) + "\r\n\r\n", "0"},
		{"most fields", start + fields(2200) + "\r\n", "0"},
		{"largest body", start + "Content-Length: 262144\r\n\r\n" + strings.Repeat("x", 262_144), "262144"},
		{"largest body in chunks", start + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk+strings.Repeat("x", 4096)+"\r\n", 64) + "0\r\n\r\n", "262144"},
	} {
		t.Run(c.name, func(t *testing.T) {
			withRig(t, budget.Limits{Bytes: 4 << 20, Connections: 100}, func(t *testing.T, r *rig) {
				conn := r.dial()
				reader := bufio.NewReader(conn)
				for range 3 {
					send(t, conn, c.text)
					status, body := receive(t, reader)
					require.Equal(t, http.StatusOK, status)
					require.Equal(t, c.want, body)
					time.Sleep(published.IdleTimeout * 4 / 5)
				}
				require.Empty(t, r.closed.all())
			})
		})
	}
}

// TestBeyondLimits checks the refusals of requests beyond the published limits. None of them runs.
func TestBeyondLimits(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       int
	}{
		{"header bytes", start + "A: " + strings.Repeat("x", 21_000), http.StatusRequestHeaderFieldsTooLarge},
		{"fields", start + fields(3400), http.StatusRequestHeaderFieldsTooLarge},
		{"body", start + "Content-Length: 262145\r\n\r\n", http.StatusRequestEntityTooLarge},
		{"chunks", start + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk+strings.Repeat("x", 4096)+"\r\n", 65), http.StatusRequestEntityTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			withRig(t, budget.Limits{Bytes: 4 << 20}, func(t *testing.T, r *rig) {
				conn := r.dial()
				send(t, conn, c.text)
				status, _ := receive(t, bufio.NewReader(conn))
				require.Equal(t, c.want, status)
			})
		})
	}
}

// TestNoMemory checks that a request for which there is no memory is refused with Retry-After, both before its head and before its body
// was read.
func TestNoMemory(t *testing.T) {
	for name, text := range map[string]string{"head": start + fields(2200), "body": start + "Content-Length: 200000\r\n\r\n" + strings.Repeat("x", 200_000)} {
		t.Run(name, func(t *testing.T) {
			withRig(t, budget.Limits{Bytes: 100 << 10}, func(t *testing.T, r *rig) {
				conn := r.dial()
				send(t, conn, text)
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
				require.Equal(t, 1, r.closed.all()[causeRefused])
			})
		})
	}
}

// TestProgress checks for how long slow bodies and heads are read. A body at 5,000 bytes per second, which takes 52 s, is read to its end.
func TestProgress(t *testing.T) {
	const perSecond = 5000
	withRig(t, budget.Limits{}, func(t *testing.T, r *rig) {
		conn := r.dial()
		send(t, conn, start+"Content-Length: 262144\r\n\r\n")
		for sent := 0; sent < 262_144; sent += perSecond {
			time.Sleep(time.Second)
			send(t, conn, strings.Repeat("x", min(perSecond, 262_144-sent)))
		}
		status, _ := receive(t, bufio.NewReader(conn))
		require.Equal(t, http.StatusOK, status)
		require.Empty(t, r.closed.all())
	})
	for cause, text := range map[string]string{
		causeSlowHead: "POST /x HTTP/1.1\r\nA: ",
		causeSlowBody: start + "Content-Length: 262144\r\n\r\n",
	} {
		withRig(t, budget.Limits{}, func(t *testing.T, r *rig) {
			conn := r.dial()
			send(t, conn, text)
			begin := time.Now()
			for range 200 {
				time.Sleep(100 * time.Millisecond)
				if _, err := io.WriteString(conn, "x"); err != nil {
					break
				}
			}
			require.InDelta(t, 15, time.Since(begin).Seconds(), 0.5)
			require.Equal(t, map[string]int{cause: 1}, r.closed.all())
		})
	}
}

// TestRefusedBody guards against a refusal that waits for a body which is not needed: an unread body is read for a second at most, and not
// at all if the caller waits for permission to send it.
func TestRefusedBody(t *testing.T) {
	const refused = "POST /refused HTTP/1.1\r\nHost: a\r\n"
	for _, c := range []struct {
		name, text string
		want       time.Duration
	}{
		{"body stops", refused + "Content-Length: 9\r\n\r\nx", restTimeout},
		{"expects to be asked", refused + "Content-Length: 9\r\nExpect: 100-continue\r\n\r\n", 0},
		{"whole body", refused + "Content-Length: 9\r\n\r\n123456789", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			withRig(t, budget.Limits{}, func(t *testing.T, r *rig) {
				conn := r.dial()
				begin := time.Now()
				send(t, conn, c.text)
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusNotFound, resp.StatusCode)
				require.InDelta(t, c.want.Seconds(), time.Since(begin).Seconds(), 0.1)
			})
		})
	}
}

// pipeListener accepts one connection without buffers.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (*pipeListener) Addr() net.Addr { return network.Addr("a") }

// TestSlowReader checks that the answer to a caller that reads slowly is delivered, and that the connection of one that does not read is
// closed.
func TestSlowReader(t *testing.T) {
	const answerBytes, perSecond = 400_000, 5000
	for name, reads := range map[string]bool{"slow": true, "stopped": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var closed causeCounter
				c := New(WithCounter(closed.add))
				c.SetLimits(published)
				server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					c.MarkServing(r)
					defer c.EndServing(r)
					_, _ = w.Write(make([]byte, answerBytes))
				})}
				c.Track(server)
				near, far := net.Pipe()
				l := &pipeListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
				l.conns <- far
				go func() { _ = server.Serve(c.Listen(l)) }()
				ctx, cancel := context.WithCancel(t.Context())
				go c.Run(ctx)
				send(t, near, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
				read := 0
				if reads {
					buf := make([]byte, perSecond)
					for read < answerBytes {
						time.Sleep(time.Second)
						n, err := io.ReadFull(near, buf[:min(perSecond, answerBytes-read)])
						require.NoError(t, err)
						read += n
					}
					require.Empty(t, closed.all())
				} else {
					time.Sleep(time.Minute)
					require.Equal(t, map[string]int{causeSlowReader: 1}, closed.all())
				}
				_ = near.Close()
				cancel()
				_ = server.Close()
				time.Sleep(time.Minute)
			})
		})
	}
}
