package handler

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"crocuswing/internal/entry/admission"
	"crocuswing/internal/operator/metric"
	"crocuswing/internal/query/runner"
	"crocuswing/internal/wire/header"

	"github.com/cespare/xxhash/v2"
)

// noRepeatKey is the key of requests whose repetition is bounded elsewhere, such as orders, which have tickets.
const noRepeatKey = 0

// defaultRetryAfter is the retry delay of refusals that state none of their own.
const defaultRetryAfter = time.Second

// admit asks for admission of a request that touches cost shards.
func (h *Handler) admit(req request, cost int, key uint64) (admission.Grant, error) {
	return h.admission.Admit(req.Context(), admission.Request{Caller: req.caller.Name, Class: req.class, Cost: cost, Key: key})
}

// repeatKey returns the key by which repeats of a query are recognized. It does not depend on the request's identifier.
func repeatKey(q runner.Query) uint64 {
	return max(1, xxhash.Sum64String(q.Service+"\x00"+q.Query+"\x00"+q.Key))
}

// countAdmissions returns an observer that counts the requests that were queued or refused.
func countAdmissions(m *metric.Metrics) func(admission.Event) {
	return func(e admission.Event) {
		m.Count(fmt.Sprintf(`crocuswing_admission_total{caller=%q,class=%q,decision=%q}`, e.Caller, e.Class, e.Decision))
	}
}

// setRetryAfter sets the headers for the retry delay of a refusal, in whole seconds and in milliseconds.
func setRetryAfter(h http.Header, status int, err error) {
	if status != http.StatusTooManyRequests && status != http.StatusServiceUnavailable {
		return
	}
	wait := defaultRetryAfter
	var refused *admission.Error
	if errors.As(err, &refused) {
		wait = refused.RetryAfter
	}
	h.Set("Retry-After", strconv.Itoa(int((wait+time.Second-1)/time.Second)))
	h.Set(header.RetryAfterMS, strconv.FormatInt(wait.Milliseconds(), 10))
}
