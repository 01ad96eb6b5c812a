// Package fault injects faults into the instances, connections, store and upstreams of a soak test. A fault is either an
// unplanned disruption or a planned operation, such as a configuration change or a planned stop. The faults are drawn from a
// seed.
package fault

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"crocuswing/internal/soak/record"
	"crocuswing/internal/soak/site"
	"crocuswing/internal/standin/proxy"
	"crocuswing/internal/task/pause"

	"go.uber.org/zap"
)

const (
	// faultPhase is the time in which disruptions and planned operations begin. quietPhase is the time after it, in which only
	// planned operations begin, after quietDelay. quietDelay exceeds the stabilization time of the checker, so that the promises
	// with time limits apply to these operations.
	faultPhase = 5 * time.Second
	quietPhase = 11 * time.Second
	quietDelay = 5 * time.Second
	// maxFaultTime is the maximum duration of a disruption that lasts for a random time.
	maxFaultTime = 3 * time.Second
	// maxFaultsPerPhase is the maximum number of faults started in one fault phase.
	maxFaultsPerPhase = 8
	// exclusionTime is how long a failure domain is excluded.
	exclusionTime = 7 * time.Second
	// restartDelay is about the time that a process takes to start. It is the minimum wait before a restart, and between a
	// restart and the next kill.
	restartDelay = 300 * time.Millisecond
)

// Injector injects faults into a site.
type Injector struct {
	site   *site.Site
	log    *zap.Logger
	mu     sync.Mutex
	random *rand.Rand
	counts map[string]int
	wg     sync.WaitGroup
}

// New returns an injector whose faults are drawn from seed.
func New(s *site.Site, log *zap.Logger, seed uint64) *Injector {
	return &Injector{site: s, log: log, random: rand.New(rand.NewPCG(seed, 3)), counts: make(map[string]int)}
}

// Counts returns the number of faults started, by kind. It must not be called while Run is running.
func (inj *Injector) Counts() map[string]int { return inj.counts }

// Run alternates fault phases and quiet phases until ctx is done. It returns when all faults are over.
func (inj *Injector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		inj.runFaultPhase(ctx)
		inj.runQuietPhase(ctx)
	}
	inj.wg.Wait()
}

// action is a kind of fault. run injects one and returns when it is over.
type action struct {
	name string
	run  func(r *rand.Rand)
}

// runFaultPhase starts faults of all kinds. It does not wait for their end.
func (inj *Injector) runFaultPhase(ctx context.Context) {
	kinds := append(inj.disruptions(), inj.plannedOperations()...)
	inj.startActions(ctx, kinds, 2+inj.intn(maxFaultsPerPhase-1), faultPhase)
}

// runQuietPhase waits until all faults are over and quietDelay has passed. It then starts planned operations, which may overlap,
// and waits for their end.
func (inj *Injector) runQuietPhase(ctx context.Context) {
	inj.wg.Wait()
	if pause.For(ctx, quietDelay) {
		inj.startActions(ctx, inj.plannedOperations(), 2+inj.intn(4), quietPhase-quietDelay)
	}
	inj.wg.Wait()
}

// startActions starts n actions of random kinds at random times within the given duration. It returns early if ctx is done.
func (inj *Injector) startActions(ctx context.Context, kinds []action, n int, within time.Duration) {
	for range n {
		if !pause.For(ctx, time.Duration(inj.int64n(int64(within)/int64(n)))) {
			return
		}
		a := kinds[inj.intn(len(kinds))]
		r := rand.New(rand.NewPCG(uint64(inj.int64n(1<<62)), 4))
		inj.mu.Lock()
		inj.counts[a.name]++
		inj.mu.Unlock()
		inj.log.Info("fault", zap.String("kind", a.name))
		inj.wg.Go(func() { a.run(r) })
	}
}

func (inj *Injector) intn(n int) int {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	return inj.random.IntN(n)
}

func (inj *Injector) int64n(n int64) int64 {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	return inj.random.Int64N(n)
}

// plannedOperations returns the kinds of operations that operators and upstreams plan.
func (inj *Injector) plannedOperations() []action {
	return []action{
		{"configuration", func(*rand.Rand) { inj.site.Reconfigure() }},
		{"configurations in quick succession", func(r *rand.Rand) {
			for range 2 + r.IntN(6) {
				inj.site.Reconfigure()
				time.Sleep(time.Duration(r.Int64N(int64(400 * time.Millisecond))))
			}
		}},
		{"planned stop", func(r *rand.Rand) { inj.stopInstance(inj.randomInstance(r)) }},
		{"planned stops in turn", func(r *rand.Rand) {
			for _, i := range r.Perm(len(inj.site.Instances))[:min(2, len(inj.site.Instances))] {
				inj.stopInstance(inj.site.Instances[i])
			}
		}},
		{"settings", func(r *rand.Rand) { inj.changeSettings(inj.randomInstance(r), r) }},
		{"upstream leaves", func(r *rand.Rand) { inj.drainUpstream(inj.randomUpstream(r)) }},
		{"failure domain out", inj.excludeDomain},
		{"store comes back from an older copy", inj.restoreStore},
	}
}

// disruptions returns the kinds of unplanned faults.
func (inj *Injector) disruptions() []action {
	return append([]action{
		{"kill", func(r *rand.Rand) { inj.killInstance(inj.randomInstance(r), 1, r) }},
		{"kills in series", func(r *rand.Rand) { inj.killInstance(inj.randomInstance(r), 3, r) }},
		{"kill of many", func(*rand.Rand) {
			var wg sync.WaitGroup
			for _, i := range inj.site.Instances {
				wg.Go(func() { inj.killInstance(i, 1, rand.New(rand.NewPCG(1, 1))) })
			}
			wg.Wait()
		}},
		{"pause", func(r *rand.Rand) {
			i := inj.randomInstance(r)
			inj.disrupt(i.Name, r, func() { i.Signal(syscall.SIGSTOP) }, func() { i.Signal(syscall.SIGCONT) })
		}},
		{"way to callers", func(r *rand.Rand) { i := inj.randomInstance(r); inj.disruptProxy(i.Name, i.CallerProxy, r) }},
		{"way to the store", func(r *rand.Rand) { i := inj.randomInstance(r); inj.disruptProxy(i.Name, i.StoreProxy, r) }},
		{"way to an upstream", func(r *rand.Rand) {
			inj.withAllDisrupted(func() { inj.disruptProxy(record.Store, inj.randomUpstream(r).Proxy, r) })
		}},
		{"store", inj.disruptStore},
		{"store forgets its history", func(*rand.Rand) { inj.site.Compact() }},
		{"store forgets its history while instances cannot reach it", inj.compactWhileUnreachable},
	}, inj.upstreamDisruptions()...)
}

func (inj *Injector) randomInstance(r *rand.Rand) *site.Instance {
	return inj.site.Instances[r.IntN(len(inj.site.Instances))]
}

// holdFault sleeps for the random duration of a disruption, between a tenth of maxFaultTime and maxFaultTime.
func (inj *Injector) holdFault(r *rand.Rand) {
	time.Sleep(maxFaultTime/10 + time.Duration(r.Int64N(int64(maxFaultTime*9/10))))
}

// reportError adds a finding if a step of the soak test itself failed.
func (inj *Injector) reportError(err error) {
	if err != nil {
		inj.site.AddFinding("the soak itself works", "", err.Error())
	}
}

// disrupt begins a disruption and ends it after a random time. Until then, the instance with the given name, or the store, is
// marked as disrupted.
func (inj *Injector) disrupt(name string, r *rand.Rand, begin, end func()) {
	inj.site.MarkDisrupted(name, true)
	begin()
	inj.holdFault(r)
	end()
	inj.site.MarkDisrupted(name, false)
}

// withAllDisrupted runs a disruption that affects all instances and marks them as disrupted until it returns.
func (inj *Injector) withAllDisrupted(run func()) {
	for _, i := range inj.site.Instances {
		inj.site.MarkDisrupted(i.Name, true)
		defer inj.site.MarkDisrupted(i.Name, false)
	}
	run()
}

// killInstance kills and restarts the process of an instance the given number of times.
func (inj *Injector) killInstance(i *site.Instance, times int, r *rand.Rand) {
	inj.site.MarkDisrupted(i.Name, true)
	defer inj.site.MarkDisrupted(i.Name, false)
	for range times {
		i.Signal(syscall.SIGKILL)
		_, _ = i.Wait(time.Second)
		time.Sleep(restartDelay + time.Duration(r.Int64N(int64(restartDelay))))
		inj.reportError(i.Start())
		time.Sleep(restartDelay + time.Duration(r.Int64N(int64(time.Second))))
	}
}

// stopInstance requests a planned stop of an instance and restarts it when its process has exited. It adds a finding if an
// undisrupted instance exceeds the maximum stop time, or if the exit code is above 0.
func (inj *Injector) stopInstance(i *site.Instance) {
	inj.site.MarkStopping(i.Name, true)
	defer inj.site.MarkStopping(i.Name, false)
	i.Signal(syscall.SIGTERM)
	switch code, ok := i.Wait(site.Bounds.MaxStopTime); {
	case !ok:
		if !inj.site.WasDisrupted(i.Name, time.Now().Add(-site.Bounds.MaxStopTime)) {
			inj.site.AddFinding("a planned stop ends in time", "", i.Name)
		}
		i.Signal(syscall.SIGKILL)
		_, _ = i.Wait(time.Second)
	case code > 0:
		inj.site.AddFinding("a planned stop succeeds", "", fmt.Sprintf("%s: exit code %d", i.Name, code))
	}
	time.Sleep(restartDelay)
	inj.reportError(i.Start())
}

// changeSettings changes the settings file of an instance, or makes it invalid for restartDelay.
func (inj *Injector) changeSettings(i *site.Instance, r *rand.Rand) {
	if r.IntN(2) == 0 {
		inj.reportError(i.ReloadSettings(r.Uint64()))
		return
	}
	inj.reportError(i.CorruptSettings(restartDelay))
}

// excludeDomain excludes a random failure domain for exclusionTime.
func (inj *Injector) excludeDomain(r *rand.Rand) {
	inj.site.ExcludeDomainFor(site.Domains[r.IntN(len(site.Domains))], exclusionTime)
}

// restoreStore makes the store come back from a copy that lacks at least one configuration. Operators and upstreams write again what
// it has lost up to 1.2 s later, the interval at which upstreams report.
func (inj *Injector) restoreStore(r *rand.Rand) {
	restore := inj.site.Checkpoint()
	inj.site.Reconfigure()
	inj.holdFault(r)
	inj.site.MarkRestored(true)
	restore()
	time.Sleep(time.Duration(r.Int64N(int64(site.Bounds.ReportInterval))))
	inj.site.RewriteStore()
	inj.site.MarkRestored(false)
}

// disruptProxy delays, resets, stalls, blocks in one direction or refuses the connections through a proxy.
func (inj *Injector) disruptProxy(name string, p *proxy.Proxy, r *rand.Rand) {
	inj.disrupt(name, r, func() {
		switch r.IntN(6) {
		case 0:
			p.SetDelay(time.Duration(r.Int64N(int64(200 * time.Millisecond))))
		case 1:
			p.Reset()
		case 2:
			p.Stall()
		case 3:
			p.Hold(proxy.ToTarget, true)
		case 4:
			p.Hold(proxy.FromTarget, true)
		default:
			inj.reportError(p.SetDown(true))
		}
	}, func() {
		p.SetDelay(0)
		p.Hold(proxy.ToTarget, false)
		p.Hold(proxy.FromTarget, false)
		inj.reportError(p.SetDown(false))
	})
}

// disruptStore makes the store refuse requests with status 503 or 429, abort its responses or respond slowly.
func (inj *Injector) disruptStore(r *rand.Rand) {
	kind := r.IntN(4)
	inj.site.SetStoreFault(func(w http.ResponseWriter) bool {
		switch kind {
		case 0:
			w.WriteHeader(http.StatusServiceUnavailable)
		case 1:
			w.WriteHeader(http.StatusTooManyRequests)
		case 2:
			panic(http.ErrAbortHandler)
		default:
			time.Sleep(maxFaultTime / 6)
			return false
		}
		return true
	})
	inj.holdFault(r)
	inj.site.SetStoreFault(nil)
}

// compactWhileUnreachable disconnects all instances but one from the store, changes the configuration and compacts the store's
// history, so that an instance that reconnects after that has to read everything.
func (inj *Injector) compactWhileUnreachable(r *rand.Rand) {
	connected := inj.randomInstance(r)
	var wg sync.WaitGroup
	for _, i := range inj.site.Instances {
		if i == connected {
			continue
		}
		rng := rand.New(rand.NewPCG(r.Uint64(), 5))
		wg.Go(func() {
			inj.disrupt(i.Name, rng, func() { inj.reportError(i.StoreProxy.SetDown(true)) }, func() { inj.reportError(i.StoreProxy.SetDown(false)) })
		})
	}
	inj.site.Reconfigure()
	inj.holdFault(r)
	inj.site.Reconfigure()
	inj.site.Compact()
	wg.Wait()
}
