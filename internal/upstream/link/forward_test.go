package link

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/standin/latecopy"
	"crocuswing/internal/standin/network"
	"crocuswing/internal/upstream/failure"
	"crocuswing/internal/wire/header"

	"github.com/stretchr/testify/require"
)

func newRequest(method, body string) Request {
	return Request{
		Method: method,
		Target: "/a%2Fb/../c?x=1&&y",
		Host:   "shop.example",
		Header: func() http.Header { return http.Header{"X-A": {"1", "2"}, "User-Agent": nil} },
		Body:   []byte(body),
	}
}

// TestForwardSendsOnce breaks a reused connection after the upstream has read the request, which must not be sent again.
// http.Transport would retry a GET without a body by itself.
func TestForwardSendsOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodHead, http.MethodDelete} {
		t.Run(method, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var runs atomic.Int64
				r := newRig(t, 8, 4, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					if runs.Add(1) > 1 {
						panic(http.ErrAbortHandler)
					}
					w.WriteHeader(http.StatusNoContent)
				}))
				defer r.stop()
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				_, err := r.Forward(ctx, newRequest(method, ""))
				require.NoError(t, err)
				_, err = r.Forward(ctx, newRequest(method, ""))
				kind, notRun := kindOf(t, err)
				require.Equal(t, failure.KindReset, kind)
				require.False(t, notRun)
				require.EqualValues(t, 2, runs.Load(), "a request that may have run is not sent again")
			})
		})
	}
}

// TestForwardReplacesClosedConnection checks that a request goes out on another connection after the upstream has closed the idle
// one.
func TestForwardReplacesClosedConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 8, 4, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, buf, err := w.(http.Hijacker).Hijack()
			if err != nil {
				panic(err)
			}
			_, _ = buf.WriteString("HTTP/1.1 204 No Content\r\n\r\n")
			_ = buf.Flush()
			time.Sleep(time.Second)
			_ = conn.Close()
		}))
		defer r.stop()
		for range 3 {
			got, err := r.Forward(t.Context(), newRequest(http.MethodGet, ""))
			require.NoError(t, err)
			require.Equal(t, http.StatusNoContent, got.Status)
			time.Sleep(2 * time.Second)
		}
	})
}

// TestForwardPreservesRequest compares the request that the upstream reads with the one that the caller sent.
func TestForwardPreservesRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 8, 4, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			body, _ := io.ReadAll(q.Body)
			w.Header().Set("X-Seen", strings.Join([]string{q.Method, q.RequestURI, q.Host, strings.Join(q.Header["X-A"], "+"), string(body)}, " "))
			w.Header().Set("X-Agent", q.UserAgent())
			w.WriteHeader(http.StatusTeapot)
			_, _ = w.Write([]byte("whole"))
		}))
		defer r.stop()
		got, err := r.Forward(t.Context(), newRequest(http.MethodPut, "text"))
		require.NoError(t, err)
		require.Equal(t, http.StatusTeapot, got.Status)
		require.Equal(t, "whole", string(got.Body))
		require.Equal(t, "PUT /a%2Fb/../c?x=1&&y shop.example 1+2 text", got.Header.Get("X-Seen"))
		require.Empty(t, got.Header.Get("X-Agent"))
	})
}

// TestForwardWaitsForSlowRequest sends a slow request after many fast ones, alone and while others overtake it. The request must
// not be abandoned, although its connection delivers no data, since the upstream may be processing it.
func TestForwardWaitsForSlowRequest(t *testing.T) {
	const long = 2 * time.Second
	for _, overtaken := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, 8, 4, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				if q.Method == http.MethodPut {
					time.Sleep(long)
				} else {
					time.Sleep(serviceTime)
				}
				w.WriteHeader(http.StatusNoContent)
			}))
			defer r.stop()
			for range 50 {
				_, err := r.Forward(t.Context(), newRequest(http.MethodGet, ""))
				require.NoError(t, err)
			}
			ended := make(chan error, 1)
			go func() {
				_, err := r.Forward(t.Context(), newRequest(http.MethodPut, ""))
				ended <- err
			}()
			if overtaken {
				for range 50 {
					_, err := r.Forward(t.Context(), newRequest(http.MethodGet, ""))
					require.NoError(t, err)
				}
			}
			require.NoError(t, <-ended)
		})
	}
}

// TestForwardClosesUnusedConnections stalls all connections: later requests must succeed on new connections while the first one
// is still in flight.
func TestForwardClosesUnusedConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 16, 8, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(serviceTime)
			w.WriteHeader(http.StatusNoContent)
		}))
		defer r.stop()
		send := func(d time.Duration) error {
			ctx, cancel := context.WithTimeout(t.Context(), d)
			defer cancel()
			_, err := r.Forward(ctx, newRequest(http.MethodGet, ""))
			return err
		}
		for range 20 {
			for range 4 {
				go func() { _ = send(time.Second) }()
			}
			time.Sleep(4 * serviceTime)
		}
		for _, conn := range r.listener.Conns() {
			conn.Stall()
		}
		start := time.Now()
		go func() { _ = send(10 * time.Second) }()
		for send(500*time.Millisecond) != nil {
			require.Less(t, time.Since(start), 2*time.Second)
		}
		time.Sleep(10 * time.Second)
	})
}

// TestForwardCrossed checks that the response to another request fails the attempt, that the failure names the connection, and that the
// connection is closed.
func TestForwardCrossed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 8, 4, respond("other", "whole"))
		defer r.stop()
		req := newRequest(http.MethodGet, "")
		req.CheckResponse = func(_ int, h http.Header) error { return checkRequestID("1", h.Get(header.RequestID)) }
		_, err := r.Forward(t.Context(), req)
		var f *failure.Failure
		require.ErrorAs(t, err, &f)
		require.Equal(t, failure.KindCrossed, f.Kind)
		require.False(t, f.NotRun)
		require.Positive(t, f.Connection)
		require.EqualValues(t, 1, r.Stats().Crossed)
		synctest.Wait()
		require.Zero(t, r.listener.OpenConns())
	})
}

// TestMisdirectedConnection guards against a late copy of a response with status 421 that counts as the response to another request: it may
// state no identifier, and says that the request did not run.
func TestMisdirectedConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var requests atomic.Int64
		net := network.New(dialTime)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			if requests.Add(1) == 1 {
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			w.Header().Set(header.RequestID, q.Header.Get(header.RequestID))
		})}
		l := net.Listen(address, 8)
		go func() {
			_ = server.Serve(latecopy.New(l, func(response []byte) bool { return bytes.Contains(response, []byte("421")) }))
		}()
		r := &rig{T: t, net: net, listener: l, server: server, Link: New("u", address, 4, WithDial(net.Dial))}
		defer r.stop()
		for _, want := range []int{http.StatusMisdirectedRequest, http.StatusOK} {
			req := newRequest(http.MethodPost, "")
			req.ID = fmt.Sprint(want)
			req.Header = func() http.Header { return http.Header{header.RequestID: {req.ID}} }
			req.CheckResponse = func(status int, h http.Header) error {
				if status == http.StatusMisdirectedRequest && h.Get(header.RequestID) == "" {
					return nil
				}
				return checkRequestID(req.ID, h.Get(header.RequestID))
			}
			got, err := r.Forward(t.Context(), req)
			require.NoError(t, err)
			require.Equal(t, want, got.Status)
		}
		require.EqualValues(t, 2, requests.Load())
	})
}
