package runner

import (
	"context"
	"fmt"
	"strings"
	"time"

	"crocuswing/internal/upstream/cluster"
	"crocuswing/internal/upstream/connection"
)

// maxLoggedAttempts is the number of latest attempts of a subrequest that a log line lists.
const maxLoggedAttempts = 4

// attempt is one sending of the subrequest to a replica.
type attempt struct {
	replica  *cluster.Replica
	cancel   context.CancelFunc
	start    time.Time
	gate     *sendGate
	hasEnded bool
	notRun   bool // certainly not run
	outcome  string
	took     time.Duration
	// connection is the number of the connection on which the attempt ended; 0 if it has not ended or got none.
	connection uint64
}

func (a *attempt) mayHaveRun() bool {
	if a.hasEnded {
		return !a.notRun
	}
	return a.gate.isSent()
}

// result is the outcome of an attempt.
type result struct {
	subrequest *subrequest
	attempt    int
	response   connection.Response
	signals    cluster.Signals
	err        error
}

// countPossiblyRun returns the number of attempts that may have run, which the route limits.
func (s *subrequest) countPossiblyRun() int {
	n := s.countDelegated()
	for _, a := range s.attempts {
		if a.mayHaveRun() {
			n++
		}
	}
	return n
}

// countSent returns the number of attempts that may have reached an upstream, including refused ones.
func (s *subrequest) countSent() int {
	n := s.countDelegated()
	for _, a := range s.attempts {
		if a.gate.isSent() {
			n++
		}
	}
	return n
}

// countDelegated returns the number of attempts that an aggregator may have sent: all that the route permits but one, or all after a
// grant.
func (s *subrequest) countDelegated() int {
	switch {
	case !s.isSentByAggregator:
		return 0
	case s.isHandedOver:
		return s.route.MaxAttempts
	}
	return s.route.MaxAttempts - 1
}

// attemptLimit returns the number of upstreams to which this instance may send the request. The instance that asked for an aggregate
// keeps one attempt for itself, or all but one until it grants them.
func (s *subrequest) attemptLimit() int {
	switch {
	case !s.isAggregate || s.isGranted:
		return s.route.MaxAttempts
	case s.isNear:
		return 1
	}
	return s.route.MaxAttempts - 1
}

// usedReplicas returns the names of the replicas that have the request in flight or may have run it. A replica that refused
// it may get it again later.
func (s *subrequest) usedReplicas() []string {
	var names []string
	for _, a := range s.attempts {
		if !a.hasEnded || !a.notRun {
			names = append(names, a.replica.Name())
		}
	}
	return names
}

// excludedReplicas returns the names of the replicas that must not get the request again.
func (s *subrequest) excludedReplicas() []string {
	var names []string
	for _, a := range s.attempts {
		if a.mayHaveRun() && s.route.NonIdempotent {
			names = append(names, a.replica.Name())
		}
	}
	return names
}

// describe appends the latest attempts and their outcomes to b, unless the only attempt was answered.
func (s *subrequest) describe(b *strings.Builder) {
	if len(s.attempts) == 1 && s.attempts[0].outcome == "ok" || len(s.attempts) == 0 && s.isAnswered {
		return
	}
	fmt.Fprintf(b, "%s:", s.cluster.Name())
	switch {
	case len(s.attempts) > 0:
	case s.isSentByAggregator:
		b.WriteString("delegated ")
	default:
		b.WriteString("nobody ")
	}
	if omitted := len(s.attempts) - maxLoggedAttempts; omitted > 0 {
		fmt.Fprintf(b, "(%d more) ", omitted)
	}
	for _, a := range s.attempts[max(0, len(s.attempts)-maxLoggedAttempts):] {
		outcome := a.outcome
		if outcome == "" {
			outcome, a.took = "open", time.Since(a.start)
		}
		if a.connection > 0 {
			outcome = fmt.Sprintf("%s on %d", outcome, a.connection)
		}
		fmt.Fprintf(b, "%s=%s/%dms ", a.replica.Name(), outcome, a.took.Milliseconds())
	}
	if s.overBudget {
		b.WriteString("denied ")
	}
	b.WriteByte(' ')
}
