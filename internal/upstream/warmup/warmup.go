// Package warmup decides whether an upstream is warm, based on the results of attempts. Package target asks it before each
// attempt, since a cold upstream takes less work and only from its first home.
//
// Only successes of the current incarnation end a warm-up, seen by this instance or by another home that reports the
// upstream as warm. A state that the upstream or the membership list reports never ends one. A report of "cold" that
// service times do not confirm causes one longer warm-up for each incarnation. Elapsed time does not end a warm-up
// either; it only makes evidence stale.
package warmup

import "time"

const (
	// MaxEvidenceAge is the age up to which a success proves that the upstream is warm.
	MaxEvidenceAge = 3 * time.Second

	reportedColdFactor = 2                     // multiple of the required successes for an upstream that reports itself cold
	slowFactor         = 3                     // multiple of the baseline above which the recent service time starts a warm-up
	clipFactor         = 6                     // multiple of the baseline to which a single service time is clipped
	slowMargin         = 10 * time.Millisecond // added to both multiples of the baseline
	minSamples         = 8                     // number of samples above which the baseline is used
	recentWeight       = 0.2                   // weight of the newest sample in the recent service time
	baselineWeight     = 0.02                  // minimum weight of the newest sample in the baseline
	baselineFallWeight = 0.1                   // minimum weight of a sample below the baseline
)

// Phase is the warm-up phase of an upstream.
type Phase int

// Phases of an upstream.
const (
	// Cold upstreams accept work only from their first home, up to the cold limit, until enough attempts succeed.
	Cold Phase = iota
	// Unproven upstreams were warm, but there is no recent evidence of it. They are treated as cold until one success
	// of the known incarnation proves them warm.
	Unproven
	// Warm upstreams accept work from all homes.
	Warm
)

// String returns the name of the phase.
func (p Phase) String() string {
	switch p {
	case Cold:
		return "cold"
	case Unproven:
		return "unproven"
	default:
		return "warm"
	}
}

// Response is one response of the upstream.
type Response struct {
	// Epoch is the epoch in which the attempt was sent.
	Epoch uint64
	// Incarnation is empty if the response names none.
	Incarnation string
	// ReportsCold is set if the upstream reports itself as cold.
	ReportsCold bool
	ServiceTime time.Duration
}

// Warmup is the warm-up state of one upstream. It is immutable; its methods return the next state.
type Warmup struct {
	requiredSuccesses   int // successes that end a warm-up
	epoch               uint64
	warmupEpoch         uint64 // epoch in which the last warm-up began
	restarts            int
	incarnation         string
	previousIncarnation string
	successes           int
	warm                bool
	lastEvidence        time.Time // time of the last evidence of warmth; zero if new evidence is required
	coldReportDisproved bool      // this incarnation was proved warm while it reported "cold"
	listedColdHandled   bool      // the membership state "cold" has been checked for this incarnation

	baseline time.Duration
	recent   time.Duration
	samples  int
}

// New returns the state of an upstream about which nothing is known. A warm-up takes warmAfter successes.
func New(warmAfter int) Warmup { return Warmup{requiredSuccesses: warmAfter, epoch: 1} }

// Epoch returns the current epoch. It increases with each start of a warm-up and each demand for new evidence.
// A success of an attempt that was sent in an earlier epoch proves nothing, and its failure does not restart a
// warm-up that began after the attempt was sent.
func (w Warmup) Epoch() uint64 { return w.epoch }

// Incarnation returns the last incarnation seen.
func (w Warmup) Incarnation() string { return w.incarnation }

// Phase returns the phase at now.
func (w Warmup) Phase(now time.Time) Phase {
	switch {
	case !w.warm:
		return Cold
	case now.Sub(w.lastEvidence) > MaxEvidenceAge:
		return Unproven
	}
	return Warm
}

// HasRestarted reports whether the instance itself saw the upstream become cold and the warm-up has not ended since.
func (w Warmup) HasRestarted() bool { return !w.warm && w.restarts > 0 }

// Restarts returns the number of times that a warm-up was started again.
func (w Warmup) Restarts() int { return w.restarts }

// WithSuccess records a successful response.
func (w Warmup) WithSuccess(now time.Time, r Response) Warmup {
	if r.Epoch != w.epoch {
		return w.WithResponse(r.Epoch, r.Incarnation)
	}
	w = w.withIncarnation(r.Incarnation)
	switch phase := w.Phase(now); {
	case phase == Cold:
		return w.withWarmupSuccess(now, r)
	case phase == Unproven && r.Incarnation == "":
		return w.Restarted().withWarmupSuccess(now, Response{ServiceTime: r.ServiceTime})
	case r.ReportsCold && !w.coldReportDisproved:
		return w.Restarted()
	}
	slow := w.isSlow(r.ServiceTime)
	if w = w.withServiceTime(r.ServiceTime); w.hasSlowedDown() {
		return w.Restarted()
	}
	if !slow || w.Phase(now) == Warm {
		w.lastEvidence = now // a slow response does not prove an unproven upstream warm
	}
	return w
}

// withWarmupSuccess counts a success of the current warm-up and ends the warm-up if it was the last one required.
func (w Warmup) withWarmupSuccess(now time.Time, r Response) Warmup {
	w.successes++
	required := w.requiredSuccesses
	if r.ReportsCold {
		required *= reportedColdFactor
	}
	if w.successes < required {
		return w
	}
	w.warm = true
	w.lastEvidence = now
	w.coldReportDisproved = w.coldReportDisproved || r.ReportsCold
	return w
}

// WithShed records that the upstream shed an attempt. It restarts a warm-up that is in progress.
func (w Warmup) WithShed(now time.Time, epoch uint64, incarnation string) Warmup {
	if epoch >= w.warmupEpoch {
		w = w.withIncarnation(incarnation)
	}
	if w.predatesWarmup(epoch) {
		return w
	}
	if w.Phase(now) != Warm {
		return w.Restarted()
	}
	return w
}

// WithConnectionError records a refused or reset connection.
func (w Warmup) WithConnectionError(epoch uint64) Warmup {
	if w.predatesWarmup(epoch) {
		return w
	}
	return w.Restarted()
}

// predatesWarmup reports whether an attempt of the given epoch was sent before the warm-up in progress began.
// Its failure then belongs to that warm-up and must not restart it.
func (w Warmup) predatesWarmup(epoch uint64) bool { return epoch < w.warmupEpoch && !w.warm }

// WithResponse records a response that was neither a success nor a shed. Only its incarnation counts.
func (w Warmup) WithResponse(epoch uint64, incarnation string) Warmup {
	if epoch < w.warmupEpoch {
		return w
	}
	return w.withIncarnation(incarnation)
}

// WithNoResponse records an attempt that ended without a response after elapsed. It counts as a service time of
// that length, so that an upstream that no longer responds also starts a warm-up.
func (w Warmup) WithNoResponse(epoch uint64, elapsed time.Duration) Warmup {
	if epoch != w.epoch || !w.warm || elapsed <= w.recent {
		return w
	}
	if w = w.withServiceTime(elapsed); w.hasSlowedDown() {
		return w.Restarted()
	}
	return w
}

// WithListedCold records that the membership list reports the upstream as cold. It discards the evidence of warmth
// once for each incarnation.
func (w Warmup) WithListedCold() Warmup {
	if !w.warm || w.listedColdHandled {
		return w
	}
	w.listedColdHandled = true
	return w.withoutEvidence()
}

// WithPeerWarm records that another home knows the incarnation of r to be warm. It ends a warm-up.
func (w Warmup) WithPeerWarm(now time.Time, r Response) Warmup {
	if r.Incarnation != "" && r.Incarnation == w.previousIncarnation {
		return w // the incarnation known here is newer
	}
	w = w.withIncarnation(r.Incarnation)
	w.warm = true
	w.lastEvidence = now
	w.coldReportDisproved = w.coldReportDisproved || r.ReportsCold
	return w
}

// WithPeerCold records that the incarnation may be cold according to another home. It discards the evidence of warmth.
func (w Warmup) WithPeerCold(incarnation string) Warmup {
	if incarnation != "" && incarnation == w.previousIncarnation {
		return w // the incarnation known here is newer
	}
	return w.withoutEvidence()
}

// Restarted starts a new warm-up.
func (w Warmup) Restarted() Warmup {
	w.epoch++
	w.warmupEpoch = w.epoch
	w.restarts++
	w.warm = false
	w.successes = 0
	w.baseline, w.recent, w.samples = 0, 0, 0
	return w
}

// withoutEvidence discards the evidence of warmth. Attempts that were sent earlier cannot provide new evidence. A call
// without evidence changes nothing, so that repeated calls do not invalidate attempts that are already in flight.
func (w Warmup) withoutEvidence() Warmup {
	if !w.warm || w.lastEvidence.IsZero() {
		return w
	}
	w.epoch++
	w.lastEvidence = time.Time{}
	return w
}

// withIncarnation starts a new warm-up if the incarnation differs from the known one.
func (w Warmup) withIncarnation(incarnation string) Warmup {
	if incarnation == "" || incarnation == w.incarnation {
		return w
	}
	hadIncarnation := w.incarnation != ""
	w.previousIncarnation, w.incarnation = w.incarnation, incarnation
	w.coldReportDisproved, w.listedColdHandled = false, false
	if hadIncarnation || w.warm {
		return w.Restarted()
	}
	return w
}

// withServiceTime updates the recent and the baseline service time.
func (w Warmup) withServiceTime(serviceTime time.Duration) Warmup {
	if w.samples == 0 {
		w.baseline, w.recent = serviceTime, serviceTime
	}
	w.samples++
	clipped := min(serviceTime, clipFactor*w.baseline+slowMargin)
	w.recent += time.Duration(recentWeight * float64(clipped-w.recent))
	if w.isSlow(serviceTime) {
		return w // outliers do not count towards the baseline
	}
	weight := max(baselineWeight, 1/float64(w.samples))
	if clipped < w.baseline {
		weight = max(weight, baselineFallWeight)
	}
	w.baseline += time.Duration(weight * float64(clipped-w.baseline))
	return w
}

func (w Warmup) hasSlowedDown() bool { return w.isSlow(w.recent) }

// isSlow reports whether a service time is far above the baseline.
func (w Warmup) isSlow(serviceTime time.Duration) bool {
	return w.samples > minSamples && serviceTime > slowFactor*w.baseline+slowMargin
}
