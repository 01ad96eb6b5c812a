package fault

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"crocuswing/internal/soak/site"
	"crocuswing/internal/standin/replica"
)

const (
	// drainMargin is how long a draining upstream keeps serving beyond the drain time that it must observe.
	drainMargin = time.Second
	// maxLateCopies is the maximum share of the responses of a shedding upstream that it sends a second time, late.
	maxLateCopies = 0.5
)

// upstreamDisruptions returns the disruptions of upstreams.
func (inj *Injector) upstreamDisruptions() []action {
	return []action{
		{"upstream is slow", func(r *rand.Rand) {
			u := inj.randomUpstream(r)
			u.SetSlowdown(2 + 20*r.Float64())
			inj.holdFault(r)
			u.SetSlowdown(1)
		}},
		{"upstream answers wrongly", func(r *rand.Rand) {
			u, kind, share := inj.randomUpstream(r), replica.Fault(1+r.IntN(int(replica.Unframed))), r.Float64()
			u.SetFault(func(r *rand.Rand) replica.Fault {
				if r.Float64() < share {
					return kind
				}
				return replica.NoFault
			})
			inj.holdFault(r)
			u.SetFault(func(*rand.Rand) replica.Fault { return replica.NoFault })
		}},
		{"upstream sheds", inj.shed},
		{"upstream asks for a pause", func(r *rand.Rand) {
			u := inj.randomUpstream(r)
			u.SetRetryAfter(100*time.Millisecond + time.Duration(r.Int64N(int64(2*time.Second))))
			u.SetShed(r.Float64())
			inj.holdFault(r)
			u.SetShed(0)
			u.SetRetryAfter(0)
		}},
		{"upstream announces that it leaves", func(r *rand.Rand) {
			u := inj.randomUpstream(r)
			u.SetLeaving(true)
			inj.holdFault(r)
			inj.reportError(u.Restart(time.Duration(r.Int64N(int64(time.Second)))))
		}},
		{"upstream restarts", func(r *rand.Rand) {
			inj.reportError(inj.randomUpstream(r).Restart(time.Duration(r.Int64N(int64(time.Second)))))
		}},
		{"address is used again", func(r *rand.Rand) {
			inj.reportError(inj.randomUpstream(r).ReassignAddress(inj.randomUpstream(r).Service()))
		}},
		{"registrations lapse", inj.expireRegistrations},
	}
}

// shed makes an upstream, or all upstreams of its service, shed load and send some of their responses a second time, late. If all do, a
// request that was refused returns to an upstream that has refused it.
func (inj *Injector) shed(r *rand.Rand) {
	all := []*site.Upstream{inj.randomUpstream(r)}
	if r.IntN(2) == 0 {
		service := all[0].Service()
		all = slices.DeleteFunc(inj.site.Upstreams(), func(u *site.Upstream) bool { return u.Service() != service })
	}
	share, copies := r.Float64(), maxLateCopies*r.Float64()
	for _, u := range all {
		u.SetShed(share)
		u.SetLateCopies(copies)
	}
	inj.holdFault(r)
	for _, u := range all {
		u.SetShed(0)
		u.SetLateCopies(0)
	}
}

// randomUpstream returns an upstream of the order, file or shard services. The three groups are equally likely, although there
// are many more shards.
func (inj *Injector) randomUpstream(r *rand.Rand) *site.Upstream {
	prefix := []string{"orders", "files", "part"}[r.IntN(3)]
	all := slices.DeleteFunc(inj.site.Upstreams(), func(u *site.Upstream) bool { return !strings.HasPrefix(u.Service(), prefix) })
	if len(all) == 0 {
		all = inj.site.Upstreams() // all upstreams of the group are restarting
	}
	return all[r.IntN(len(all))]
}

// drainUpstream adds a replacement, drains the upstream and crashes it drainMargin after the drain time.
func (inj *Injector) drainUpstream(u *site.Upstream) {
	_, err := inj.site.AddUpstream(u.Service(), u.Domain())
	inj.reportError(err)
	u.Drain()
	time.Sleep(site.Bounds.DrainTime + drainMargin)
	u.Crash()
}

// expireRegistrations removes the registrations of some running upstreams while the store is unavailable. The upstreams register
// again soon after the store has recovered.
func (inj *Injector) expireRegistrations(r *rand.Rand) {
	inj.site.SetStoreFault(func(http.ResponseWriter) bool { panic(http.ErrAbortHandler) })
	var expired []*site.Upstream
	for range 1 + r.IntN(4) {
		u := inj.randomUpstream(r)
		u.ExpireRegistration()
		expired = append(expired, u)
	}
	inj.holdFault(r)
	inj.site.SetStoreFault(nil)
	time.Sleep(time.Duration(r.Int64N(int64(time.Second))))
	for _, u := range expired {
		u.RenewRegistration()
	}
}
