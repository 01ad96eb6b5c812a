// Package warmup decides whether an upstream is warm, from what the instance itself saw of it.
//
// Only successes of the present incarnation end a warm-up. A report of the upstream or of the list
// never ends one, and a report of "cold" against unchanged service times costs one longer warm-up
// for each incarnation. Time ends no warm-up: it only makes evidence stale.
package warmup

import "time"

const (
	// MaxEvidenceAge is the age from which a success no longer proves that the upstream is warm.
	MaxEvidenceAge = 3 * time.Second

	reportedFactor = 2 // a report of "cold" asks for this many times the successes
	jumpFactor     = 3 // recent service time, as a multiple of the usual, that starts a warm-up
	clipFactor     = 6 // a single service time counts at most as this multiple of the usual
	jumpFloor      = 10 * time.Millisecond
	jumpSamples    = 8 // answers needed before the usual service time is trusted
	recentWeight   = 0.2
	usualWeight    = 0.02
	fallWeight     = 0.1
)

// Phase is what is known about the warmth of an upstream.
type Phase int

// Phases of an upstream.
const (
	// Cold upstreams take the cold limit from their first home until enough successes were seen.
	Cold Phase = iota
	// Unproven upstreams were warm, but without recent evidence; one success of the known incarnation
	// proves them warm. Until then they are treated as cold.
	Unproven
	// Warm upstreams take work from all homes.
	Warm
)

// String names the phase.
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

// Response is one answer of the upstream.
type Response struct {
	// Epoch is that in which the attempt was sent.
	Epoch uint64
	// Incarnation is empty if the answer names none.
	Incarnation string
	// ReportsCold tells that the upstream calls itself cold.
	ReportsCold bool
	ServiceTime time.Duration
}

// Warmup is an immutable value; its methods give the next value.
type Warmup struct {
	needed      int // successes that end a warm-up
	epoch       uint64
	began       uint64 // the epoch in which the last warm-up began
	restarts    int
	incarnation string
	previous    string // the incarnation before
	successes   int
	warm        bool
	confirmed   time.Time // the last evidence of warmth
	disproved   bool      // this incarnation reported "cold" against the evidence
	listed      bool      // the list's "cold" was checked for this incarnation

	usual   time.Duration
	recent  time.Duration
	samples int
}

// New makes the state of an upstream of which nothing is known.
func New(warmAfter int) Warmup { return Warmup{needed: warmAfter, epoch: 1} }

// Epoch grows with each start of a warm-up and each doubt. A success of an attempt that was sent in
// a former epoch proves nothing, and a failure of one does not begin anew a warm-up that began after
// it was sent.
func (w Warmup) Epoch() uint64 { return w.epoch }

// Incarnation is the last one seen.
func (w Warmup) Incarnation() string { return w.incarnation }

// Phase tells what is known at now.
func (w Warmup) Phase(now time.Time) Phase {
	switch {
	case !w.warm:
		return Cold
	case now.Sub(w.confirmed) > MaxEvidenceAge:
		return Unproven
	}
	return Warm
}

// HasRestarted tells whether the instance itself saw the upstream become cold, and nothing since
// that ended the warm-up.
func (w Warmup) HasRestarted() bool { return !w.warm && w.restarts > 0 }

// Restarts is the number of warm-ups that began anew.
func (w Warmup) Restarts() int { return w.restarts }

// WithSuccess records a successful answer.
func (w Warmup) WithSuccess(now time.Time, a Response) Warmup {
	if a.Epoch != w.epoch {
		return w.WithResponse(a.Epoch, a.Incarnation)
	}
	w = w.seen(a.Incarnation)
	switch phase := w.Phase(now); {
	case phase == Cold:
		return w.withWarming(now, a)
	case phase == Unproven && a.Incarnation == "":
		return w.Restarted().withWarming(now, Response{ServiceTime: a.ServiceTime})
	case a.ReportsCold && !w.disproved:
		return w.Restarted()
	}
	slow := w.isSlow(a.ServiceTime)
	if w = w.withSample(a.ServiceTime); w.hasJumped() {
		return w.Restarted()
	}
	if !slow || w.Phase(now) == Warm {
		w.confirmed = now // a slow answer proves nothing
	}
	return w
}

// withWarming counts a success of the present warm-up.
func (w Warmup) withWarming(now time.Time, a Response) Warmup {
	w.successes++
	needed := w.needed
	if a.ReportsCold {
		needed *= reportedFactor
	}
	if w.successes < needed {
		return w
	}
	w.warm = true
	w.confirmed = now
	w.disproved = w.disproved || a.ReportsCold
	return w
}

// WithShed records that the upstream refused an attempt for load. While it warms up, that starts anew.
func (w Warmup) WithShed(now time.Time, epoch uint64, incarnation string) Warmup {
	if epoch >= w.began {
		w = w.seen(incarnation)
	}
	if w.isKnown(epoch) {
		return w
	}
	if w.Phase(now) != Warm {
		return w.Restarted()
	}
	return w
}

// WithConnectionError records a refused or reset connection.
func (w Warmup) WithConnectionError(epoch uint64) Warmup {
	if w.isKnown(epoch) {
		return w
	}
	return w.Restarted()
}

// isKnown tells whether a sign of a cold start, from an attempt of the given epoch, belongs to the
// warm-up that already runs.
func (w Warmup) isKnown(epoch uint64) bool { return epoch < w.began && !w.warm }

// WithResponse records an answer that was neither a success nor a shed.
func (w Warmup) WithResponse(epoch uint64, incarnation string) Warmup {
	if epoch < w.began {
		return w
	}
	return w.seen(incarnation)
}

// WithNoResponse records an attempt that was given up after took. It counts as a service time of
// at least took, so an upstream that has stopped to answer starts a warm-up too.
func (w Warmup) WithNoResponse(epoch uint64, took time.Duration) Warmup {
	if epoch != w.epoch || !w.warm || took <= w.recent {
		return w
	}
	if w = w.withSample(took); w.hasJumped() {
		return w.Restarted()
	}
	return w
}

// WithListedCold records that the list calls the upstream cold. It makes the evidence stale,
// once for each incarnation.
func (w Warmup) WithListedCold() Warmup {
	if !w.warm || w.listed {
		return w
	}
	w.listed = true // once for each incarnation
	return w.withoutEvidence()
}

// WithPeerWarm records that another home knows the answer's incarnation to be warm.
func (w Warmup) WithPeerWarm(now time.Time, a Response) Warmup {
	if a.Incarnation != "" && a.Incarnation == w.previous {
		return w // older than what is known here
	}
	w = w.seen(a.Incarnation)
	w.warm = true
	w.confirmed = now
	w.disproved = w.disproved || a.ReportsCold
	return w
}

// WithPeerCold records that another home doubts that the incarnation is warm.
func (w Warmup) WithPeerCold(incarnation string) Warmup {
	if incarnation != "" && incarnation == w.previous {
		return w // older than what is known here
	}
	return w.withoutEvidence()
}

// Restarted begins a warm-up.
func (w Warmup) Restarted() Warmup {
	w.epoch++
	w.began = w.epoch
	w.restarts++
	w.warm = false
	w.successes = 0
	w.usual, w.recent, w.samples = 0, 0, 0
	return w
}

// withoutEvidence asks for new evidence; attempts sent before give none. A repeated doubt changes
// nothing, so that many doubts cannot discard each new evidence.
func (w Warmup) withoutEvidence() Warmup {
	if !w.warm || w.confirmed.IsZero() {
		return w
	}
	w.epoch++
	w.confirmed = time.Time{}
	return w
}

// seen begins a warm-up if the incarnation is another one.
func (w Warmup) seen(incarnation string) Warmup {
	if incarnation == "" || incarnation == w.incarnation {
		return w
	}
	known := w.incarnation != ""
	w.previous, w.incarnation = w.incarnation, incarnation
	w.disproved, w.listed = false, false
	if known || w.warm {
		return w.Restarted()
	}
	return w
}

func (w Warmup) withSample(took time.Duration) Warmup {
	if w.samples == 0 {
		w.usual, w.recent = took, took
	}
	w.samples++
	clipped := min(took, clipFactor*w.usual+jumpFloor)
	w.recent += time.Duration(recentWeight * float64(clipped-w.recent))
	if w.isSlow(took) {
		return w // an outlier says nothing about the usual service time
	}
	weight := max(usualWeight, 1/float64(w.samples))
	if clipped < w.usual {
		weight = max(weight, fallWeight)
	}
	w.usual += time.Duration(weight * float64(clipped-w.usual))
	return w
}

func (w Warmup) hasJumped() bool { return w.isSlow(w.recent) }

// isSlow tells whether a service time is far above the usual one.
func (w Warmup) isSlow(took time.Duration) bool {
	return w.samples > jumpSamples && took > jumpFactor*w.usual+jumpFloor
}
