package instance_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"crocuswing/internal/demo/backend"
	"crocuswing/internal/fleet/member"
	"crocuswing/internal/operator/status"
	"crocuswing/internal/order/outcome"
	"crocuswing/internal/serve/instance"
	"crocuswing/internal/settings/process"
	"crocuswing/internal/standin/balancer"
	"crocuswing/internal/standin/caller"
	"crocuswing/internal/wire/call"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

const (
	waitLimit    = 30 * time.Second
	drainDelayMS = 1500
	shortDelayMS = 300
	serviceMS    = 2      // service time of the backend's upstreams
	longDelayMS  = 60_000 // longer than any test waits
)

// fleet is a backend with instances in the test process.
type fleet struct {
	*backend.Backend
	t        *testing.T
	caller   *caller.Caller
	balancer *balancer.Balancer
	delayMS  int
	started  int
}

// testInstance is one instance of the fleet.
type testInstance struct {
	*instance.Instance
	name, address string
	stop          context.CancelFunc
	forceStop     chan os.Signal
	stopped       chan error
	logs          *observer.ObservedLogs
}

func start(t *testing.T, count, delayMS int) (*fleet, []*testInstance) {
	b, err := backend.Start(1)
	require.NoError(t, err)
	f := &fleet{Backend: b, t: t, caller: caller.New(backend.CallerKey), balancer: balancer.New(), delayMS: delayMS}
	t.Cleanup(b.Close)
	var all []*testInstance
	for range count {
		all = append(all, f.addInstance())
	}
	return f, all
}

// addInstance starts an instance and waits until it is ready.
func (f *fleet) addInstance() *testInstance {
	var l [3]net.Listener
	for n := range l {
		var err error
		l[n], err = net.Listen("tcp", "127.0.0.1:0")
		require.NoError(f.t, err)
	}
	d := backend.Domains[f.started%len(backend.Domains)]
	core, logs := observer.New(zap.InfoLevel)
	r := &testInstance{name: fmt.Sprint("instance-", f.started), address: l[0].Addr().String(), forceStop: make(chan os.Signal, 1), stopped: make(chan error, 1), logs: logs}
	f.started++
	f.Platform.SetMember(member.Member{
		Name: r.name, Kind: member.KindInstance, FailureDomain: d.Name, Region: d.Region,
		Address: l[1].Addr().String(), State: member.StateLive,
	})
	s := process.Settings{
		Instance: r.name, FailureDomain: d.Name, Region: d.Region, PlatformAddress: f.Address,
		TicketKey: backend.TicketKey, DrainDelayMS: f.delayMS,
	}
	r.Instance = instance.New(s, zap.New(core), instance.WithForceStop(r.forceStop),
		instance.WithListeners(instance.Listeners{Caller: l[0], Peer: l[1], Operator: l[2]}))
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	f.t.Cleanup(stop)
	go func() { r.stopped <- r.Run(ctx) }()
	f.await(func() bool { return r.Status().Ready })
	f.balancer.Add(r.address)
	return r
}

func (f *fleet) await(condition func() bool) {
	f.t.Helper()
	require.Eventually(f.t, condition, waitLimit, time.Millisecond)
}

// slowDown sets the service time of the upstreams, and raises the deadline of requests above it.
func (f *fleet) slowDown(all []*testInstance, ms int) {
	const longDeadline = `{"name":"ordinary","deadline-ms":60000,"answer-policy":"coverage","hedge-quantile":0.9,"hedge-share":0,"retry-share":0}`
	revision := f.Platform.Publish(map[string]string{"preset/ordinary": longDeadline})
	for _, r := range all {
		f.await(func() bool { return r.Status().Revision == revision })
	}
	for _, u := range f.Upstreams() {
		u.SetSlowdown(float64(ms) / serviceMS)
	}
}

// order places one order and returns its state. An error other than a refusal means that the request was cut off.
func (f *fleet) order(address, body string) (string, error) {
	ticket, err := f.caller.Ticket(context.Background(), address, backend.OrderService)
	if err != nil {
		return "", err
	}
	o, err := f.caller.Order(context.Background(), address, call.Order{Ticket: ticket.Ticket, Service: backend.OrderService, Key: body, Body: body})
	return o.State, err
}

func (f *fleet) search(address, id string) error {
	_, err := f.caller.Search(context.Background(), address, id, call.Search{Service: backend.SearchService, Query: id})
	return err
}

func isCutOff(err error) bool {
	var refused *caller.StatusError
	return err != nil && !errors.As(err, &refused)
}

func (f *fleet) executions(body string) int {
	total := 0
	for _, u := range f.Upstreams() {
		total += u.OrderRuns(body)
	}
	return total
}

func peerOf(s status.Status, name string) status.Peer {
	for _, p := range s.Peers {
		if p.Instance == name {
			return p
		}
	}
	return status.Peer{}
}

// TestPlannedStopFinishes checks that a planned stop cuts off no request or order that the instance has in flight.
func TestPlannedStopFinishes(t *testing.T) {
	f, all := start(t, 2, shortDelayMS)
	f.slowDown(all, 2*shortDelayMS) // requests take longer than the drain delay
	var cutOff atomic.Int64
	var workers sync.WaitGroup
	states := make([]string, 4)
	for n := range 4 {
		workers.Go(func() {
			if isCutOff(f.search(all[0].address, fmt.Sprint("stop-", n))) {
				cutOff.Add(1)
			}
		})
		workers.Go(func() {
			state, err := f.order(all[0].address, fmt.Sprint("stop-order-", n))
			if isCutOff(err) {
				cutOff.Add(1)
			}
			states[n] = state
		})
	}
	f.await(func() bool { return all[0].Status().RequestsInFlight >= 4 })
	all[0].stop()
	f.await(func() bool { return !all[0].Status().Ready })
	f.await(func() bool { return peerOf(all[1].Status(), all[0].name).Leaving })
	workers.Wait()
	require.NoError(t, <-all[0].stopped)
	require.Zero(t, cutOff.Load())
	require.Empty(t, all[0].logs.FilterLevelExact(zap.ErrorLevel).All())
	for n, state := range states {
		executions := f.executions(fmt.Sprint("stop-order-", n))
		require.True(t, state == outcome.Done && executions == 1 || state == outcome.NotRun && executions == 0 || state == outcome.Unknown && executions <= 1, "%s ran %d times", state, executions)
	}
}

// TestForcedStop checks that the log names an order in flight if a second signal cuts the stop short.
func TestForcedStop(t *testing.T) {
	f, all := start(t, 1, longDelayMS)
	f.slowDown(all, longDelayMS)
	go func() { _, _ = f.order(all[0].address, "hurried") }()
	f.await(func() bool { return all[0].Status().OrdersInFlight == 1 })
	all[0].stop()
	f.await(func() bool { return !all[0].Status().Ready })
	all[0].forceStop <- syscall.SIGTERM
	f.await(func() bool { return all[0].logs.FilterMessage("instance stopped").Len() == 1 })
	require.NoError(t, <-all[0].stopped)
	lost := all[0].logs.FilterMessage("stop is cut short").All()
	require.Len(t, lost, 1)
	require.Len(t, lost[0].ContextMap()["orders-unknown"], 1)
}

// TestLastInstanceServesWhileDraining checks that the only instance answers as before while it drains, because the balancer
// still sends it requests.
func TestLastInstanceServesWhileDraining(t *testing.T) {
	f, all := start(t, 1, longDelayMS)
	f.slowDown(all, serviceMS)
	require.NoError(t, f.search(all[0].address, "before"))
	all[0].stop()
	f.await(func() bool { return !all[0].Status().Ready })
	f.await(func() bool { return all[0].logs.FilterMessage("peers judged by contact").Len() == 1 })
	for n := range 20 {
		a, err := f.caller.Search(t.Context(), all[0].address, fmt.Sprint("lag-", n), call.Search{Service: backend.SearchService, Query: "q"})
		require.NoError(t, err)
		require.Equal(t, a.Coverage.Total, a.Coverage.Answered)
	}
	all[0].forceStop <- syscall.SIGTERM
	require.NoError(t, <-all[0].stopped)
}

// TestRollingReplacement replaces all four instances one after another under load, and checks that no request is cut off.
func TestRollingReplacement(t *testing.T) {
	f, all := start(t, 4, drainDelayMS)
	done := make(chan struct{})
	var cutOff, answered atomic.Int64
	var states sync.Map
	var workers sync.WaitGroup
	for w := range 6 {
		workers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				id := fmt.Sprintf("roll-%d-%d", w, n)
				var err error
				if w%2 == 0 {
					err = f.search(f.balancer.Pick(), id)
				} else {
					var state string
					state, err = f.order(f.balancer.Pick(), id)
					states.Store(id, state)
				}
				if isCutOff(err) {
					cutOff.Add(1)
					t.Log(err)
				}
				answered.Add(1)
			}
		})
	}
	for _, r := range all {
		before := answered.Load()
		f.await(func() bool { return answered.Load() > before+20 })
		r.stop()
		f.await(func() bool { return !r.Status().Ready })
		f.balancer.Remove(r.address)
		require.NoError(t, <-r.stopped)
		f.Platform.RemoveMember(r.name)
		f.addInstance()
	}
	close(done)
	workers.Wait()
	require.Zero(t, cutOff.Load())
	placed := 0
	states.Range(func(id, state any) bool {
		executions := f.executions(id.(string))
		require.True(t, state == outcome.Done && executions == 1 || state != outcome.Done && executions <= 1, "%s: %s, ran %d times", id, state, executions)
		placed++
		return true
	})
	require.Positive(t, placed)
}

// TestDomainOutAndBack checks that running instances apply the exclusion and the return of a failure domain, and report the return,
// after which its upstreams start cold.
func TestDomainOutAndBack(t *testing.T) {
	f, all := start(t, 2, drainDelayMS)
	require.NoError(t, f.search(all[0].address, "warm"))
	f.SetDomainExcluded(backend.Domains[0].Name, true)
	f.await(func() bool {
		return len(all[1].Status().ExcludedDomains) == 1 && len(all[0].Status().ExcludedDomains) == 1
	})
	f.SetDomainExcluded(backend.Domains[0].Name, false)
	f.await(func() bool {
		return len(all[0].Status().ExcludedDomains) == 0 && len(all[1].Status().ExcludedDomains) == 0
	})
	f.await(func() bool { return all[0].logs.FilterMessage("failure domains return").Len() == 1 })
	require.True(t, all[0].Status().Ready)
	require.True(t, all[0].Status().Watcher)
}
