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

// bareKey marks requests whose repetition is bounded elsewhere, as that of orders by their tickets.
const bareKey = 0

// defaultRetryAfter is the wait stated with refusals that bring none of their own.
const defaultRetryAfter = time.Second

// admit asks for the permission to run a request that touches cost shards.
func (h *Handler) admit(q request, cost int, key uint64) (admission.Grant, error) {
	return h.admission.Admit(q.Context(), admission.Request{Caller: q.caller.Name, Class: q.class, Cost: cost, Key: key})
}

// keyOf recognizes repeats of a query; the identifier of the request does not count.
func keyOf(q runner.Query) uint64 {
	return max(1, xxhash.Sum64String(q.Service+"\x00"+q.Query+"\x00"+q.Key))
}

// countAdmissions counts the requests that waited or were refused.
func countAdmissions(m *metric.Metrics) func(admission.Event) {
	return func(e admission.Event) {
		m.Count(fmt.Sprintf(`crocuswing_admission_total{caller=%q,class=%q,decision=%q}`, e.Caller, e.Class, e.Decision))
	}
}

// setRetryAfter states the wait before another try, in whole seconds and in milliseconds.
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
