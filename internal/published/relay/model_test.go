package relay

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"crocuswing/internal/published/registration"

	"github.com/stretchr/testify/require"
)

const (
	// stableTime is the time after a disturbance from which an instance, or the store, counts as undisturbed.
	stableTime = 4 * time.Second
	// maxDisturbance is the longest freeze, cut or outage.
	maxDisturbance = 6 * time.Second
	// maxColdTime is the longest cold time of an upstream.
	maxColdTime = 8 * time.Second
	// maxCopyAge is the age of the oldest copy from which the store comes back, and maxReturn the longest time that it is away for that.
	maxCopyAge = 8 * time.Second
	maxReturn  = 1500 * time.Millisecond
)

// modelSeeds is the number of histories.
var modelSeeds = flag.Uint64("seeds", 20, "number of random histories")

// lastWrite is what the history has written last for an upstream.
type lastWrite struct {
	registration.Registration
	isRemoved bool
	at        time.Time
	coldSince time.Time
	coldUntil time.Time
}

// knownCold is the report by which an instance knows an upstream, and until when the instance counts it as cold.
type knownCold struct {
	registration.Registration
	until time.Time
}

// datedCopy is a copy of the store.
type datedCopy struct {
	copyOf
	at time.Time
}

// randomHistory plays a random history of reports, removals, drains, lapses, compactions and outages of the store, of its returns from older
// copies, and of freezes, cuts and restarts of instances. It checks what each instance knows meanwhile.
type randomHistory struct {
	*testing.T
	*freezableFleet
	rng    *rand.Rand
	ranked []*freezable
	writes map[string]lastWrite
	next   int // name of the next upstream
	log    []string

	disturbed map[string]time.Time // end of the latest disturbance, by instance; in the future while it lasts
	unstable  time.Time            // end of the latest disturbance of the store
	dropped   map[string]map[string]registration.Registration
	seen      map[string]map[string]registration.Registration
	cold      map[string]map[string]knownCold // by instance
	copies    []datedCopy
}

func (h *randomHistory) logf(format string, args ...any) {
	h.log = append(h.log, fmt.Sprintf("%6.2fs ", time.Since(h.start()).Seconds())+fmt.Sprintf(format, args...))
}

// start returns the time at which the virtual clock starts.
func (*randomHistory) start() time.Time { return time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC) }

func (h *randomHistory) pickUp() (lastWrite, bool) {
	var up []lastWrite
	for k := range h.next {
		if f := h.writes[fmt.Sprint(k)]; !f.isRemoved {
			up = append(up, f)
		}
	}
	if len(up) == 0 {
		return lastWrite{}, false
	}
	return up[h.rng.IntN(len(up))], true
}

func (h *randomHistory) setReport(r registration.Registration) {
	h.report(r)
	f := lastWrite{Registration: r, at: time.Now(), coldSince: h.writes[r.Upstream].coldSince, coldUntil: h.writes[r.Upstream].coldUntil}
	if end := f.at.Add(r.Cold); r.Cold == 0 || !end.Equal(f.coldUntil) {
		f.coldSince, f.coldUntil = f.at, end
	}
	h.writes[r.Upstream] = f
	h.logf("upstream %s reports incarnation %d, sequence %d, draining %t, cold %v", r.Upstream, r.Incarnation, r.Sequence, r.Draining, r.Cold)
}

// heartbeat writes the next report of an upstream, with the rest of its cold time.
func (h *randomHistory) heartbeat(f lastWrite) {
	f.Sequence++
	f.Cold = max(0, time.Until(f.coldUntil))
	h.setReport(f.Registration)
}

func (h *randomHistory) setRemoved(f lastWrite) {
	h.remove(f.Upstream)
	h.writes[f.Upstream] = lastWrite{Registration: f.Registration, isRemoved: true, at: time.Now()}
	h.logf("upstream %s is removed", f.Upstream)
}

// step makes one random change.
func (h *randomHistory) step() {
	h.copies = append(h.copies, datedCopy{copyOf: h.copy(), at: time.Now()})
	f, ok := h.pickUp()
	isLeaving := f.Draining
	switch k := h.rng.IntN(15); {
	case k < 3:
		h.setReport(registration.Registration{Upstream: fmt.Sprint(h.next), Service: "s", Incarnation: 1, Sequence: 1})
		h.next++
	case !ok:
	case k < 6:
		h.setRemoved(f)
	case k < 7:
		f.Draining = true
		h.heartbeat(f)
	case k < 8 && !isLeaving:
		h.heartbeat(f)
	case k < 9:
		f.Incarnation++
		f.Sequence, f.Draining, f.Cold = 1, false, 0
		h.setReport(f.Registration)
	case k < 11 && !isLeaving:
		f.Sequence++
		f.Cold = time.Duration(h.rng.Int64N(int64(maxColdTime)))
		h.setReport(f.Registration)
	case k < 12:
		h.compact()
		h.logf("the store forgets its history")
	case k < 14:
		h.disturb()
	default:
		h.comeBack()
	}
}

// comeBack lets the store come back from a random copy. Within returnTime the upstreams that are up have reported again, and the registrations
// of those that have left since the copy have lapsed.
func (h *randomHistory) comeBack() {
	if time.Now().Before(h.unstable) {
		return
	}
	first := slices.IndexFunc(h.copies, func(c datedCopy) bool { return time.Since(c.at) <= maxCopyAge })
	c := h.copies[first+h.rng.IntN(len(h.copies)-first)]
	d := time.Duration(h.rng.Int64N(int64(maxReturn)))
	h.logf("the store is away for %v and comes back from the copy of %6.2fs", d, c.at.Sub(h.start()).Seconds())
	h.unstable = time.Now().Add(d + returnTime)
	h.setDown(true)
	h.run(d)
	h.restore(c.copyOf)
	h.setDown(false)
	writeAt := make(map[string]time.Duration)
	for k := range h.next {
		writeAt[fmt.Sprint(k)] = time.Duration(h.rng.Int64N(int64(returnTime)))
	}
	names := slices.SortedFunc(maps.Keys(writeAt), func(a, b string) int { return cmp.Compare(writeAt[a], writeAt[b]) })
	restored := time.Now()
	for _, name := range names {
		h.run(time.Until(restored.Add(writeAt[name])))
		f := h.writes[name]
		if !f.isRemoved {
			h.heartbeat(f)
		} else if i, ok := c.items[keyPrefix+name]; ok && !i.Removed {
			h.remove(name)
		}
	}
}

// disturb begins a disturbance of an instance or of the store that ends by itself.
func (h *randomHistory) disturb() {
	x := h.ranked[h.rng.IntN(len(h.ranked))]
	now := time.Now()
	if now.Before(h.disturbed[x.name]) || now.Before(h.unstable) {
		return
	}
	d := time.Duration(h.rng.Int64N(int64(maxDisturbance)))
	switch h.rng.IntN(4) {
	case 0:
		h.disturbed[x.name] = now.Add(d)
		h.logf("%s freezes for %v", x.name, d)
		x.freeze()
		time.AfterFunc(d, x.thaw)
	case 1:
		h.disturbed[x.name] = now.Add(d)
		h.logf("%s is cut off from the store for %v", x.name, d)
		h.setAvailable(x.name, false)
		time.AfterFunc(d, func() { h.setAvailable(x.name, true) })
	case 2:
		h.disturbed[x.name] = now
		h.logf("%s restarts", x.name)
		x.start()
		h.dropped[x.name], h.seen[x.name], h.cold[x.name] = nil, nil, nil
	default:
		h.outage(d)
	}
}

// outage makes the store unavailable to all instances. In a long one, registrations lapse and return within returnTime of its end.
func (h *randomHistory) outage(d time.Duration) {
	h.unstable = time.Now().Add(d + returnTime)
	h.logf("the store is away for %v", d)
	h.setDown(true)
	f, ok := h.pickUp()
	isLapse := ok && d >= lapseTime && !f.Draining
	time.Sleep(d)
	if isLapse {
		h.remove(f.Upstream)
		h.logf("upstream %s lapses", f.Upstream)
	}
	h.setDown(false)
	if isLapse {
		h.run(time.Duration(h.rng.Int64N(int64(returnTime))))
		h.heartbeat(f)
	}
}

// run checks the instances for d.
func (h *randomHistory) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, x := range h.ranked {
			h.check(x)
		}
	}
}

// check compares what the instance knows with what was written last.
func (h *randomHistory) check(x *freezable) {
	now := time.Now()
	view := x.upstreams()
	isDisturbed := now.Sub(h.disturbed[x.name]) < stableTime
	for name, r := range h.seen[x.name] {
		if known, ok := view[name]; ok {
			h.verify(!r.IsNewerThan(known), "%s has gone back to an older report of upstream %s", x.name, name)
		} else {
			h.verify(isDisturbed || r.Draining || h.writes[name].isRemoved, "%s has lost upstream %s, which is up", x.name, name)
			if h.dropped[x.name] == nil {
				h.dropped[x.name] = make(map[string]registration.Registration)
			}
			h.dropped[x.name][name] = r
		}
	}
	for name, r := range view {
		if old, ok := h.dropped[x.name][name]; ok {
			h.verify(r.IsNewerThan(old), "%s has upstream %s again without a new report", x.name, name)
		}
	}
	h.seen[x.name] = view
	h.recordCold(x, view)
	if isDisturbed || now.Sub(h.unstable) < stableTime {
		return
	}
	for name, f := range h.writes {
		if now.Sub(f.at) >= drainTime {
			h.checkWritten(x, name, f, view)
		}
	}
}

// checkWritten compares what an undisturbed instance knows of an upstream with what was written last.
func (h *randomHistory) checkWritten(x *freezable, name string, f lastWrite, view map[string]registration.Registration) {
	now := time.Now()
	r, ok := view[name]
	if f.isRemoved {
		h.verify(!ok, "%s has upstream %s %v after its removal", x.name, name, now.Sub(f.at))
		return
	}
	h.verify(ok, "%s lacks upstream %s %v after its report", x.name, name, now.Sub(f.at))
	h.verify(r.Incarnation == f.Incarnation && r.Draining == f.Draining, "%s has an old report of upstream %s %v after the new one", x.name, name, now.Sub(f.at))
	isCold := now.Before(f.coldUntil) && now.Sub(f.coldSince) >= drainTime
	h.verify(!isCold || !h.cold[x.name][name].until.Before(f.coldUntil), "%s does not know that upstream %s has been cold for %v", x.name, name, now.Sub(f.coldSince))
}

// recordCold records until when the instance counts each upstream as cold, by the same rule as a cluster of upstreams.
func (h *randomHistory) recordCold(x *freezable, view map[string]registration.Registration) {
	if h.cold[x.name] == nil {
		h.cold[x.name] = make(map[string]knownCold)
	}
	for name, r := range view {
		if h.cold[x.name][name].Registration != r {
			h.cold[x.name][name] = knownCold{Registration: r, until: time.Now().Add(r.Cold)}
		}
	}
}

// verify fails the test with the history so far unless ok is true.
func (h *randomHistory) verify(ok bool, format string, args ...any) {
	if ok {
		return
	}
	for _, line := range h.log[max(0, len(h.log)-30):] {
		h.Log(line)
	}
	require.Fail(h, fmt.Sprintf(format, args...), "%6.2fs", time.Since(h.start()).Seconds())
}

// TestRandomHistories checks, for random histories, that instances which nothing has disturbed lately know within the drain time what was
// removed, drained and registered, that nothing that was removed comes back without a new report, and that all views agree in the end.
func TestRandomHistories(t *testing.T) {
	for seed := range *modelSeeds {
		runFreezableSeed(t, 6, seed, func(t *testing.T, c *freezableFleet, ranked []*freezable) {
			h := &randomHistory{
				T: t, freezableFleet: c, rng: rand.New(rand.NewPCG(seed, 1)), ranked: ranked, writes: make(map[string]lastWrite), next: 10,
				disturbed: make(map[string]time.Time), dropped: make(map[string]map[string]registration.Registration),
				seen: make(map[string]map[string]registration.Registration), cold: make(map[string]map[string]knownCold),
			}
			h.logf("seed %d", seed)
			for k := range h.next {
				h.writes[fmt.Sprint(k)] = lastWrite{Registration: registration.Registration{Upstream: fmt.Sprint(k), Service: "s", Incarnation: 1, Sequence: 1}, at: time.Now()}
			}
			for range 60 {
				h.step()
				h.run(time.Duration(h.rng.Int64N(int64(1500 * time.Millisecond))))
			}
			h.run(maxDisturbance + stableTime + drainTime)
			for _, x := range ranked {
				for name, f := range h.writes {
					r, ok := x.upstreams()[name]
					h.verify(ok != f.isRemoved && (!ok || r.Incarnation == f.Incarnation && r.Draining == f.Draining), "%s ends with upstream %s: %t, %v", x.name, name, ok, r)
				}
			}
		})
	}
}
