// Package fault draws disturbances and planned work for a soak from a seed.
package fault

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"crocuswing/internal/soak/record"
	"crocuswing/internal/soak/site"
	"crocuswing/internal/standin/proxy"
	"crocuswing/internal/standin/replica"
	"crocuswing/internal/task/pause"

	"go.uber.org/zap"
)

const (
	// storm is the time in which disturbances begin, calm the time after it that holds planned work only. Promises with
	// times hold in the calm, once the last disturbance is stable seconds past.
	storm   = 5 * time.Second
	calm    = 11 * time.Second
	settled = 5 * time.Second
	// longest is the time that a disturbance takes at most.
	longest = 3 * time.Second
	// mostTogether is the number of disturbances of one storm at most.
	mostTogether = 8
	// leaveMargin is what an upstream serves on beyond the time that it owes.
	leaveMargin = time.Second
	// outFor is how long a failure domain is out.
	outFor = 7 * time.Second
	// restartTime is what a process takes to start again.
	restartTime = 300 * time.Millisecond
)

// Faults disturbs a site.
type Faults struct {
	site   *site.Site
	log    *zap.Logger
	mu     sync.Mutex
	random *rand.Rand
	counts map[string]int
	work   sync.WaitGroup
}

// New makes the faults of a seed.
func New(s *site.Site, log *zap.Logger, seed uint64) *Faults {
	return &Faults{site: s, log: log, random: rand.New(rand.NewPCG(seed, 3)), counts: make(map[string]int)}
}

// Counts tells how often each kind was done.
func (f *Faults) Counts() map[string]int { return f.counts }

// Run alternates storms and calms until ctx ends, and ends when nothing is disturbed any more.
func (f *Faults) Run(ctx context.Context) {
	for ctx.Err() == nil {
		f.storm(ctx)
		f.calm(ctx)
	}
	f.work.Wait()
}

// action is a kind of disturbance or work. It returns when it is over.
type action struct {
	name string
	do   func(r *rand.Rand)
}

func (f *Faults) storm(ctx context.Context) {
	kinds := append(f.disturbances(), f.plans()...)
	f.several(ctx, kinds, 2+f.intn(mostTogether-1), storm)
}

// calm waits until the storm is over and does planned work, one after the other with overlaps.
func (f *Faults) calm(ctx context.Context) {
	f.work.Wait()
	if pause.For(ctx, settled) {
		f.several(ctx, f.plans(), 2+f.intn(4), calm-settled)
	}
	f.work.Wait()
}

func (f *Faults) several(ctx context.Context, kinds []action, n int, within time.Duration) {
	for range n {
		if !pause.For(ctx, time.Duration(f.int64n(int64(within)/int64(n)))) {
			return
		}
		a := kinds[f.intn(len(kinds))]
		r := rand.New(rand.NewPCG(uint64(f.int64n(1<<62)), 4))
		f.mu.Lock()
		f.counts[a.name]++
		f.mu.Unlock()
		f.log.Info("fault", zap.String("kind", a.name))
		f.work.Go(func() { a.do(r) })
	}
}

func (f *Faults) intn(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

func (f *Faults) int64n(n int64) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Int64N(n)
}

// plans is the work that operators and upstreams plan.
func (f *Faults) plans() []action {
	return []action{
		{"configuration", func(*rand.Rand) { f.site.Configure() }},
		{"configurations in quick succession", func(r *rand.Rand) {
			for range 2 + r.IntN(6) {
				f.site.Configure()
				time.Sleep(time.Duration(r.Int64N(int64(400 * time.Millisecond))))
			}
		}},
		{"planned stop", func(r *rand.Rand) { f.stop(f.instance(r)) }},
		{"planned stops in turn", func(r *rand.Rand) {
			for _, i := range r.Perm(len(f.site.Instances))[:min(2, len(f.site.Instances))] {
				f.stop(f.site.Instances[i])
			}
		}},
		{"settings", func(r *rand.Rand) { f.settings(f.instance(r), r) }},
		{"upstream leaves", func(r *rand.Rand) { f.leave(f.upstream(r)) }},
		{"failure domain out", f.out},
	}
}

// disturbances are unplanned.
func (f *Faults) disturbances() []action {
	return []action{
		{"kill", func(r *rand.Rand) { f.kill(f.instance(r), 1, r) }},
		{"kills in series", func(r *rand.Rand) { f.kill(f.instance(r), 3, r) }},
		{"kill of many", func(*rand.Rand) {
			var all sync.WaitGroup
			for _, i := range f.site.Instances {
				all.Go(func() { f.kill(i, 1, rand.New(rand.NewPCG(1, 1))) })
			}
			all.Wait()
		}},
		{"pause", func(r *rand.Rand) {
			i := f.instance(r)
			f.disturb(i.Name, r, func() { i.Signal(syscall.SIGSTOP) }, func() { i.Signal(syscall.SIGCONT) })
		}},
		{"way to callers", func(r *rand.Rand) { i := f.instance(r); f.path(i.Name, i.Callers, r) }},
		{"way to the store", func(r *rand.Rand) { i := f.instance(r); f.path(i.Name, i.StorePath, r) }},
		{"way to an upstream", func(r *rand.Rand) { f.anywhere(func() { f.path(record.Store, f.upstream(r).Proxy, r) }) }},
		{"store", f.store},
		{"store forgets its history", func(*rand.Rand) { f.site.Compact() }},
		{"store forgets its history while instances cannot reach it", f.forget},
		{"upstream is slow", func(r *rand.Rand) {
			u := f.upstream(r)
			u.SetSlow(2 + 20*r.Float64())
			f.wait(r)
			u.SetSlow(1)
		}},
		{"upstream answers wrongly", func(r *rand.Rand) {
			u, kind, share := f.upstream(r), replica.Fault(1+r.IntN(int(replica.Unframed))), r.Float64()
			u.SetFault(func(r *rand.Rand) replica.Fault {
				if r.Float64() < share {
					return kind
				}
				return replica.Sound
			})
			f.wait(r)
			u.SetFault(func(*rand.Rand) replica.Fault { return replica.Sound })
		}},
		{"upstream sheds", func(r *rand.Rand) {
			u := f.upstream(r)
			u.SetShed(r.Float64())
			f.wait(r)
			u.SetShed(0)
		}},
		{"upstream restarts", func(r *rand.Rand) { f.must(f.upstream(r).Restart(time.Duration(r.Int64N(int64(time.Second))))) }},
		{"address is used again", func(r *rand.Rand) { f.must(f.upstream(r).Replace(f.upstream(r).Service())) }},
		{"registrations lapse", f.lapse},
	}
}

func (f *Faults) instance(r *rand.Rand) *site.Instance {
	return f.site.Instances[r.IntN(len(f.site.Instances))]
}

// upstream gives one of the orders, the files or the shards, each as often, although there are many more of the shards.
func (f *Faults) upstream(r *rand.Rand) *site.Upstream {
	prefix := []string{"orders", "files", "part"}[r.IntN(3)]
	all := slices.DeleteFunc(f.site.Upstreams(), func(u *site.Upstream) bool { return !strings.HasPrefix(u.Service(), prefix) })
	if len(all) == 0 {
		all = f.site.Upstreams() // all of them are about to start again
	}
	return all[r.IntN(len(all))]
}

func (f *Faults) wait(r *rand.Rand) {
	time.Sleep(longest/10 + time.Duration(r.Int64N(int64(longest*9/10))))
}

func (f *Faults) must(err error) {
	if err != nil {
		f.site.Find("the soak itself works", "", err.Error())
	}
}

// disturb begins something and ends it after a while; the instance, or the store, counts as disturbed meanwhile.
func (f *Faults) disturb(name string, r *rand.Rand, begin, end func()) {
	f.site.Disturb(name, true)
	begin()
	f.wait(r)
	end()
	f.site.Disturb(name, false)
}

// anywhere does what concerns all instances.
func (f *Faults) anywhere(do func()) {
	for _, i := range f.site.Instances {
		f.site.Disturb(i.Name, true)
		defer f.site.Disturb(i.Name, false)
	}
	do()
}

// kill ends a process and starts it again, several times.
func (f *Faults) kill(i *site.Instance, times int, r *rand.Rand) {
	f.site.Disturb(i.Name, true)
	defer f.site.Disturb(i.Name, false)
	for range times {
		i.Signal(syscall.SIGKILL)
		_, _ = i.Wait(time.Second)
		time.Sleep(restartTime + time.Duration(r.Int64N(int64(restartTime))))
		f.must(i.Start())
		time.Sleep(restartTime + time.Duration(r.Int64N(int64(time.Second))))
	}
}

// stop asks a process to end, and starts it again when it has.
func (f *Faults) stop(i *site.Instance) {
	f.site.Stop(i.Name, true)
	defer f.site.Stop(i.Name, false)
	i.Signal(syscall.SIGTERM)
	switch code, ok := i.Wait(site.Bounds.MaxStopTime); {
	case !ok:
		if !f.site.IsDisturbed(i.Name, time.Now().Add(-site.Bounds.MaxStopTime)) {
			f.site.Find("a planned stop ends in time", "", i.Name)
		}
		i.Signal(syscall.SIGKILL)
		_, _ = i.Wait(time.Second)
	case code > 0:
		f.site.Find("a planned stop succeeds", "", fmt.Sprintf("%s: exit code %d", i.Name, code))
	}
	time.Sleep(restartTime)
	f.must(i.Start())
}

// settings changes the settings file, or spoils it for a while.
func (f *Faults) settings(i *site.Instance, r *rand.Rand) {
	if r.IntN(2) == 0 {
		f.must(i.Reload(r.Uint64()))
		return
	}
	f.must(i.Spoil(restartTime))
}

// leave lets an upstream leave, while another one takes its place.
func (f *Faults) leave(u *site.Upstream) {
	_, err := f.site.Add(u.Service(), u.Domain())
	f.must(err)
	u.Leave()
	time.Sleep(site.Bounds.DrainTime + leaveMargin)
	u.Crash()
}

func (f *Faults) out(r *rand.Rand) {
	f.site.TakeOutFor(site.Domains[r.IntN(len(site.Domains))], outFor)
}

// path disturbs the connections through a proxy in one of several ways.
func (f *Faults) path(name string, p *proxy.Proxy, r *rand.Rand) {
	f.disturb(name, r, func() {
		switch r.IntN(6) {
		case 0:
			p.SetDelay(time.Duration(r.Int64N(int64(200 * time.Millisecond))))
		case 1:
			p.Reset()
		case 2:
			p.Silence()
		case 3:
			p.Hold(proxy.Forth, true)
		case 4:
			p.Hold(proxy.Back, true)
		default:
			f.must(p.SetDown(true))
		}
	}, func() {
		p.SetDelay(0)
		p.Hold(proxy.Forth, false)
		p.Hold(proxy.Back, false)
		f.must(p.SetDown(false))
	})
}

// store lets the store refuse, break off or answer slowly.
func (f *Faults) store(r *rand.Rand) {
	kind := r.IntN(4)
	f.site.SetStoreFault(func(w http.ResponseWriter) bool {
		switch kind {
		case 0:
			w.WriteHeader(http.StatusServiceUnavailable)
		case 1:
			w.WriteHeader(http.StatusTooManyRequests)
		case 2:
			panic(http.ErrAbortHandler)
		default:
			time.Sleep(longest / 6)
			return false
		}
		return true
	})
	f.wait(r)
	f.site.SetStoreFault(nil)
}

// forget keeps all instances but one from the store while the configuration changes, and the history is gone at their return.
func (f *Faults) forget(r *rand.Rand) {
	spared := f.instance(r)
	var all sync.WaitGroup
	for _, i := range f.site.Instances {
		if i == spared {
			continue
		}
		own := rand.New(rand.NewPCG(r.Uint64(), 5))
		all.Go(func() {
			f.disturb(i.Name, own, func() { f.must(i.StorePath.SetDown(true)) }, func() { f.must(i.StorePath.SetDown(false)) })
		})
	}
	f.site.Configure()
	f.wait(r)
	f.site.Configure()
	f.site.Compact()
	all.Wait()
}

// lapse lets registrations of living upstreams run out while the store is away; they come back soon after it.
func (f *Faults) lapse(r *rand.Rand) {
	f.site.SetStoreFault(func(http.ResponseWriter) bool { panic(http.ErrAbortHandler) })
	var lapsed []*site.Upstream
	for range 1 + r.IntN(4) {
		u := f.upstream(r)
		u.Lapse()
		lapsed = append(lapsed, u)
	}
	f.wait(r)
	f.site.SetStoreFault(nil)
	time.Sleep(time.Duration(r.Int64N(int64(time.Second))))
	for _, u := range lapsed {
		u.Renew()
	}
}
