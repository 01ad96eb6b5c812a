package link

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/upstream/failure"
	"crocuswing/internal/wire/header"

	"github.com/stretchr/testify/require"
)

// TestInvalidStatus guards against a response with an invalid status whose body is taken for the answer, on the path that forwards
// requests and on that of the product's own messages. The attempt has failed and may have run.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "101"} {
		for _, name := range []string{"forward", "part"} {
			t.Run(status+" "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := newRig(t, 8, 4, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
						conn, buf, err := w.(http.Hijacker).Hijack()
						if err != nil {
							panic(err)
						}
						hidden := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\n{}", header.RequestID, q.Header.Get(header.RequestID))
						_, _ = fmt.Fprintf(buf, "HTTP/1.1 %s X\r\nContent-Length: %d\r\n\r\n%s", status, len(hidden), hidden)
						_ = buf.Flush()
						time.Sleep(time.Second)
						_ = conn.Close()
					}))
					defer r.stop()
					ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
					defer cancel()
					var err error
					if name == "forward" {
						_, err = r.Forward(ctx, newRequest(http.MethodGet, ""))
					} else {
						err = r.sendPart(500 * time.Millisecond)
					}
					kind, notRun := kindOf(t, err)
					require.Equal(t, failure.KindReset, kind)
					require.False(t, notRun)
					require.NoError(t, ctx.Err(), "the attempt fails at once")
				})
			})
		}
	}
}
