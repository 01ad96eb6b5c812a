package runner

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"crocuswing/internal/query/balancer"
	"crocuswing/internal/upstream/cluster"
	"crocuswing/internal/upstream/connection"
	"crocuswing/internal/upstream/failure"
)

// maxDescribed attempts of a leg are in its log line.
const maxDescribed = 4

// rescueFactor is the number of hedge times after which an attempt counts as lost.
const rescueFactor = 4

// leg is the part of a request that goes to one service.
type leg struct {
	*execution
	index   int
	cluster *cluster.Cluster
	tries   []*try
	due     time.Time // of the next step; zero if there is none
	isDone  bool
	isOver  bool // failed for good
	denied  bool // the retry budget refused an extra attempt
	answer  connection.Response
	proof   string
	failure *connection.Response // an upstream's own failure
}

// try is one attempt on a replica.
type try struct {
	replica *cluster.Replica
	cancel  context.CancelFunc
	start   time.Time
	claim   *claim
	isEnded bool
	notRun  bool // surely not run
	outcome string
	took    time.Duration
}

func (t *try) mayHaveRun() bool {
	if t.isEnded {
		return !t.notRun
	}
	return t.claim.isSent()
}

// result is the end of an attempt.
type result struct {
	leg, try int
	in       connection.Response
	signals  cluster.Signals
	err      error
}

// step begins the leg or helps it.
func (l *leg) step(now time.Time) {
	l.due = time.Time{}
	if l.isDone || l.isOver {
		return
	}
	open := l.open()
	switch {
	case len(l.tries) == 0:
		l.begin(now)
	case open == nil:
		l.again(now)
	default:
		l.hedge(open, now)
	}
}

// usual is what attempts of this request take at most, as a rule.
func (l *leg) usual() cluster.Timing {
	return cluster.Timing{HedgeDelay: l.pace.HedgeDelay(balancer.SameDomain), ExtraLatency: l.pace.ExtraLatency}
}

// open gives the newest attempt in flight.
func (l *leg) open() *try {
	for i := len(l.tries) - 1; i >= 0; i-- {
		if !l.tries[i].isEnded {
			return l.tries[i]
		}
	}
	return nil
}

func (l *leg) begin(now time.Time) {
	r, ok := l.cluster.Pick(balancer.First, l.route, nil, l.usual())
	if !ok {
		l.parkOrEnd(now)
		return
	}
	l.send(r, now)
}

// again follows attempts that have all failed.
func (l *leg) again(now time.Time) {
	if l.sends() >= l.route.MaxAttempts {
		l.over()
		return
	}
	r, ok := l.cluster.Pick(balancer.Retry, l.route, l.taken(), l.usual())
	if !ok {
		// Another one may appear; one that failed may be asked again if that is allowed.
		r, ok = l.cluster.Pick(balancer.Retry, l.route, l.barred(), l.usual())
	}
	if !ok {
		l.parkOrEnd(now)
		return
	}
	if !l.mayAdd(l.cluster.Spend) {
		l.park(now)
		return
	}
	l.send(r, now)
}

// parkOrEnd waits for an upstream if one may take the request soon.
func (l *leg) parkOrEnd(now time.Time) {
	if l.cluster.CanServe(l.route) {
		l.park(now)
		return
	}
	l.over()
}

// hedge sends a second attempt beside one that is late.
func (l *leg) hedge(open *try, now time.Time) {
	if late := open.start.Add(l.pace.HedgeDelay(open.replica.Distance())); now.Before(late) {
		l.due = late
		return
	}
	if l.route.Once && open.claim.isSent() {
		return
	}
	if l.sends() >= l.route.MaxAttempts {
		return
	}
	purpose := balancer.Hedge
	if now.Sub(open.start) >= rescueFactor*l.pace.HedgeDelay(open.replica.Distance()) {
		purpose = balancer.Retry // a replica of which little good is known is better than none
	}
	r, ok := l.cluster.Pick(purpose, l.route, l.taken(), l.usual())
	if !ok {
		l.park(now)
		return
	}
	if open.claim.withdraw() {
		open.cancel() // nothing goes out any more: the attempt is replaced, not doubled
	}
	if !l.mayAdd(l.cluster.SpendAboveReserve) {
		l.park(now)
		return
	}
	l.meter.Count("crocuswing_forward_hedges_total")
	l.send(r, now)
}

// mayAdd takes an extra attempt from the retry budget unless none has arrived yet.
func (l *leg) mayAdd(spend func() bool) bool {
	if l.arrivals() == 0 {
		return true
	}
	l.denied = !spend()
	return !l.denied
}

// sends is the number of attempts that may have been run, which the route bounds.
func (l *leg) sends() int {
	n := 0
	for _, t := range l.tries {
		if t.mayHaveRun() {
			n++
		}
	}
	return n
}

// arrivals is the number of attempts that may have arrived at an upstream, be it that it refused them.
func (l *leg) arrivals() int {
	n := 0
	for _, t := range l.tries {
		if t.claim.isSent() {
			n++
		}
	}
	return n
}

// taken names the replicas that have the request or may have run it. One that refused it may be asked again later.
func (l *leg) taken() []string {
	var names []string
	for _, t := range l.tries {
		if !t.isEnded || !t.notRun {
			names = append(names, t.replica.Name())
		}
	}
	return names
}

// barred names the replicas that cannot take the request again.
func (l *leg) barred() []string {
	var names []string
	for _, t := range l.tries {
		if t.mayHaveRun() && l.route.Once {
			names = append(names, t.replica.Name())
		}
	}
	return names
}

func (l *leg) park(now time.Time) { l.due = now.Add(park) }

func (l *leg) over() {
	l.isOver = true
	l.failed++
}

// send begins an attempt. The caller's end withdraws it, the answer does not: what it still tells of the replica is worth
// more than a connection that has to be opened again.
func (l *leg) send(r *cluster.Replica, now time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), l.pace.Deadline)
	t := &try{replica: r, cancel: cancel, start: now, claim: new(claim)}
	l.tries = append(l.tries, t)
	usual := l.pace.HedgeDelay(r.Distance())
	l.due = now.Add(usual)
	l.history.Begin(r.Name(), now)
	number := len(l.tries) - 1
	a := attempt{Runner: l.Runner, request: l.request, route: l.route, cluster: l.cluster, replica: r, claim: t.claim, start: now, deadline: l.pace.Deadline, usual: usual}
	l.attempts.Go(func() {
		defer cancel()
		res := a.run(ctx)
		res.leg, res.try = l.index, number
		select {
		case l.results <- res:
		case <-l.ended:
		}
	})
}

// take handles the end of an attempt.
func (l *leg) take(res result, now time.Time) {
	t := l.tries[res.try]
	t.isEnded, t.took = true, now.Sub(t.start)
	var f *failure.Failure
	switch {
	case errors.As(res.err, &f):
		t.outcome, t.notRun = f.Kind, f.NotRun
	case res.err != nil:
		t.outcome = res.err.Error()
	case res.signals.NotRun || res.signals.IsMisdirected:
		t.outcome, t.notRun = fmt.Sprintf("refused %d", res.in.Status), true
	case l.isAnswer(res):
		l.finish(t, res)
		return
	default:
		t.outcome = fmt.Sprintf("failed %d", res.in.Status)
		if res.signals.Proof != "" && !promisesNotRun(res.in.Status) {
			l.failure = &res.in
		}
	}
	l.failedTry(t, now)
}

// isAnswer tells whether the caller gets this answer. A failure of the upstream is passed on if the request may not run
// again.
func (l *leg) isAnswer(res result) bool {
	if res.signals.Proof == "" {
		return false
	}
	isSuccess := res.in.Status >= 200 && res.in.Status < 300
	if promisesNotRun(res.in.Status) {
		return false
	}
	return isSuccess || (!l.route.IsGather() && (l.route.Once || res.in.Status < 500))
}

// promisesNotRun tells of the statuses by which callers know that they may repeat a request. An upstream that does not
// vouch for it must not be quoted with one.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func (l *leg) finish(t *try, res result) {
	t.outcome = "ok"
	if l.isDone || l.isOver {
		return
	}
	l.isDone = true
	l.due = time.Time{}
	l.done++
	l.answer, l.proof = res.in, res.signals.Proof
}

func (l *leg) failedTry(t *try, now time.Time) {
	if l.isDone || l.isOver {
		return
	}
	if l.route.Once && !t.notRun {
		l.over()
		return
	}
	if l.open() != nil {
		return
	}
	l.again(now)
}

// withdraw ends the attempts in flight, and reports whether some attempt may have run. What has not
// been sent by now never will be.
func (l *leg) withdraw() (mayHaveRun bool) {
	for _, t := range l.tries {
		if t.isEnded {
			mayHaveRun = mayHaveRun || !t.notRun
			continue
		}
		if !t.claim.withdraw() {
			mayHaveRun = true
		}
		t.cancel()
	}
	return mayHaveRun
}

// withdrawSlow ends the attempts in flight on upstreams that are slow: all if the leg has no answer, else those that are late. The
// others are about to end, and cutting them off would cost a connection each.
func (l *leg) withdrawSlow(now time.Time) {
	for _, t := range l.tries {
		if !t.isEnded && (!l.isDone || now.Sub(t.start) > l.pace.HedgeDelay(t.replica.Distance())) {
			t.cancel()
		}
	}
}

func (l *leg) describe(b *strings.Builder) {
	if len(l.tries) == 1 && l.tries[0].outcome == "ok" {
		return
	}
	fmt.Fprintf(b, "%s:", l.cluster.Name())
	if len(l.tries) == 0 {
		b.WriteString("nobody")
	}
	if left := len(l.tries) - maxDescribed; left > 0 {
		fmt.Fprintf(b, "(%d more) ", left)
	}
	for _, t := range l.tries[max(0, len(l.tries)-maxDescribed):] {
		outcome := t.outcome
		if outcome == "" {
			outcome, t.took = "open", time.Since(t.start)
		}
		fmt.Fprintf(b, "%s=%s/%dms ", t.replica.Name(), outcome, t.took.Milliseconds())
	}
	if l.denied {
		b.WriteString("denied ")
	}
	b.WriteByte(' ')
}
