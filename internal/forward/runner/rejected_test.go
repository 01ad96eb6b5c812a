package runner

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"crocuswing/internal/forward/request"

	"github.com/stretchr/testify/require"
)

// TestRejectedBodies guards against a refusal for lack of memory without Retry-After, and against one for other faults of a body that
// promises that a repetition may succeed.
func TestRejectedBodies(t *testing.T) {
	rep := rejected(&request.BodyError{Status: http.StatusServiceUnavailable, Reason: "no memory", RetryAfter: time.Second})
	require.Equal(t, http.StatusServiceUnavailable, rep.Status)
	require.Equal(t, time.Second, rep.RetryAfter)
	for _, err := range []error{&request.BodyError{Status: http.StatusRequestEntityTooLarge, RetryAfter: time.Second}, errors.New("cut")} {
		rep := rejected(err)
		require.NotEqual(t, http.StatusServiceUnavailable, rep.Status)
		require.Zero(t, rep.RetryAfter)
	}
}
