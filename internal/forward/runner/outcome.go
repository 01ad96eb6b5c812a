package runner

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"crocuswing/internal/upstream/failure"
)

// handleResult records the outcome of an attempt and decides how the subrequest continues.
func (s *subrequest) handleResult(res result, now time.Time) {
	a := s.attempts[res.attempt]
	a.hasEnded, a.took, a.connection = true, now.Sub(a.start), res.response.Connection
	var f *failure.Failure
	switch {
	case errors.As(res.err, &f):
		a.outcome, a.notRun, a.connection = f.Kind, f.NotRun, f.Connection
	case res.err != nil:
		a.outcome = res.err.Error()
	case res.signals.NotRun || res.signals.IsMisdirected:
		a.outcome, a.notRun = fmt.Sprintf("refused %d", res.response.Status), true
		res.response.Free()
	case s.isAcceptable(res):
		s.complete(a, res)
		return
	default:
		a.outcome = fmt.Sprintf("failed %d", res.response.Status)
		s.keepError(res)
	}
	s.handleFailure(a, now)
}

// keepError keeps the latest failure that an upstream itself sent, which may become the reply.
func (s *subrequest) keepError(res result) {
	if res.signals.Proof == "" || impliesNotRun(res.response.Status) {
		res.response.Free()
		return
	}
	s.freeError()
	s.upstreamError = &res.response
}

// freeError frees the failure that was kept, if any.
func (s *subrequest) freeError() {
	if s.upstreamError != nil {
		s.upstreamError.Free()
		s.upstreamError = nil
	}
}

// isAcceptable reports whether the response answers the subrequest. A part must be a success. A response that goes to the
// caller unchanged may be a server error only if the request must not run again.
func (s *subrequest) isAcceptable(res result) bool {
	if res.signals.Proof == "" {
		return false
	}
	isSuccess := res.response.Status >= 200 && res.response.Status < 300
	if impliesNotRun(res.response.Status) {
		return false
	}
	return isSuccess || (!s.route.IsGather() && (s.route.NonIdempotent || res.response.Status < 500))
}

// impliesNotRun reports whether a status implies to callers that the request did not run and may be repeated. An upstream that
// sends such a status without confirming this may have run the request, so its response is not passed on.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func (s *subrequest) complete(a *attempt, res result) {
	a.outcome = "ok"
	if s.isAnswered || s.hasFailed {
		res.response.Free()
		return
	}
	s.isAnswered = true
	s.dueAt = time.Time{}
	s.answered++
	s.response, s.proof = res.response, res.signals.Proof
}

// handleFailure retries the subrequest after a failed attempt if no other is in flight, or fails it if it must not run again.
func (s *subrequest) handleFailure(a *attempt, now time.Time) {
	if s.isAnswered || s.hasFailed {
		return
	}
	if s.route.NonIdempotent && !a.notRun {
		s.fail()
		return
	}
	if s.newestInFlight() != nil {
		return
	}
	s.retry(now)
}
