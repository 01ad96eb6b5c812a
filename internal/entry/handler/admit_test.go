package handler

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"crocuswing/internal/entry/admission"
	"crocuswing/internal/query/runner"
	"crocuswing/internal/wire/header"

	"github.com/stretchr/testify/require"
)

func TestRetryAfter(t *testing.T) {
	refused := &admission.Error{Caller: "a", Reason: admission.RefusedQueueTimeout, RetryAfter: 1200 * time.Millisecond}
	for _, c := range []struct {
		name            string
		err             error
		seconds, millis string
	}{
		{name: "admission states its own wait", err: refused, seconds: "2", millis: "1200"},
		{name: "other refusals", err: &refusal{status: http.StatusServiceUnavailable, reason: "not ready"}, seconds: "1", millis: "1000"},
		{name: "unclassified", err: errors.New("failed"), seconds: "1", millis: "1000"},
		{name: "invalid request", err: &refusal{status: http.StatusBadRequest, reason: "body"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := make(http.Header)
			setRetryAfter(h, statusOf(c.err), c.err)
			require.Equal(t, c.seconds, h.Get("Retry-After"))
			require.Equal(t, c.millis, h.Get(header.RetryAfterMS))
		})
	}
	require.Equal(t, http.StatusTooManyRequests, statusOf(refused))
}

// TestRepeatKey checks that repeats have the same key and different requests do not.
func TestRepeatKey(t *testing.T) {
	q := runner.Query{RequestID: "1", Service: "s", Query: "cotton"}
	again := runner.Query{RequestID: "2", Service: "s", Query: "cotton"}
	require.Equal(t, repeatKey(q), repeatKey(again))
	require.NotEqual(t, repeatKey(q), repeatKey(runner.Query{Service: "s", Query: "linen"}))
	require.NotEqual(t, repeatKey(q), repeatKey(runner.Query{Service: "s", Key: "cotton"}))
	require.NotEqual(t, uint64(noRepeatKey), repeatKey(q))
}
