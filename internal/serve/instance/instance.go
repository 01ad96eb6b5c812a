// Package instance assembles one instance and runs it until it is told to stop.
package instance

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"sync/atomic"
	"time"

	entry "crocuswing/internal/entry/handler"
	"crocuswing/internal/fleet/detector"
	"crocuswing/internal/fleet/follower"
	"crocuswing/internal/fleet/member"
	"crocuswing/internal/fleet/peers"
	"crocuswing/internal/fleet/view"
	"crocuswing/internal/network/socket"
	operator "crocuswing/internal/operator/handler"
	"crocuswing/internal/operator/metric"
	"crocuswing/internal/order/coordinator"
	"crocuswing/internal/peer/server"
	"crocuswing/internal/published/reader"
	"crocuswing/internal/query/runner"
	"crocuswing/internal/serve/inflight"
	"crocuswing/internal/settings/process"
	"crocuswing/internal/upstream/directory"
	"crocuswing/internal/upstream/dispatch"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

const headerTimeout = 5 * time.Second

// Instance is one running instance.
type Instance struct {
	settings    process.Settings
	log         *zap.Logger
	incarnation uint64
	listeners   Listeners

	follower    *follower.Follower
	peers       *peers.Peers
	directory   *directory.Directory
	dispatcher  *dispatch.Dispatcher
	runner      *runner.Runner
	coordinator *coordinator.Coordinator
	metrics     *metric.Metrics
	contacts    *detector.Detector
	flight      *inflight.Tracker
	stopping    atomic.Bool
	hurry       <-chan os.Signal
	out         []string // failure domains that are out, as of the last update
}

// Listeners are the open sockets of an instance.
type Listeners struct {
	Caller, Peer, Operator net.Listener
}

// Option changes how an instance is made.
type Option func(*Instance)

// WithListeners uses open sockets in place of the addresses in the settings.
func WithListeners(l Listeners) Option {
	return func(i *Instance) { i.listeners = l }
}

// WithForceStop cuts a planned stop short when hurry is closed or receives.
func WithForceStop(hurry <-chan os.Signal) Option {
	return func(i *Instance) { i.hurry = hurry }
}

// New assembles an instance; nothing runs yet.
func New(s process.Settings, log *zap.Logger, options ...Option) *Instance {
	i := &Instance{
		settings:    s,
		log:         log.With(zap.String("instance", s.Instance)),
		incarnation: uint64(time.Now().UnixNano()),
		directory:   directory.New(s.Instance),
		metrics:     metric.New(),
		contacts:    detector.New(),
		flight:      inflight.New(),
	}
	for _, o := range options {
		o(i)
	}
	i.assemble()
	i.gauges()
	i.upstreamGauges()
	return i
}

func (i *Instance) assemble() {
	s := i.settings
	self := member.Member{Name: s.Instance, Kind: member.KindInstance, FailureDomain: s.FailureDomain, Region: s.Region}
	i.peers = peers.New(s.Instance, s.Peers, i.contacts, i.revision, i.heardFrom)
	i.follower = follower.New(self, reader.New(s.PlatformAddress), i.peers, i.contacts, i.log, i.update,
		follower.WithSeeds(s.Peers), follower.WithCounter(i.metrics.Count))
	sender := dispatch.New(s.Instance, i.follower, i.directory, i.peers, dispatch.WithObserver(i.changed), dispatch.WithRefusalObserver(i.upstreamRefused))
	i.dispatcher = sender
	i.runner = runner.New(sender, runner.WithMeter(i.metrics), runner.WithCurrentView(i.follower.Current))
	i.coordinator = coordinator.New(s.Instance, i.incarnation, []byte(s.TicketKey), sender, i.peers, i)
	i.measureOrders()
	i.measureLinks()
}

// Run serves until ctx ends, then finishes what is in flight and returns nil.
func (i *Instance) Run(ctx context.Context) error {
	if err := i.listen(); err != nil {
		return err
	}
	i.log.Info("instance starts", zap.Uint64("incarnation", i.incarnation))
	background, end := context.WithCancel(context.Background())
	defer end()
	prefix := fmt.Sprintf("%s-%x", i.settings.Instance, i.incarnation)
	handler := i.flight.Handler(entry.New(i, i.runner, i.coordinator, i.metrics, prefix))
	callers := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	operators := &http.Server{Handler: operator.New(i, i.metrics), ReadHeaderTimeout: headerTimeout}
	peerCalls := server.New(i.methods(), i.revision, i.heard, server.WithErrorHandler(i.peerBroke))

	var group errgroup.Group
	group.Go(func() error { i.follower.Run(background); return nil })
	group.Go(func() error { i.dispatcher.Run(background); return nil })
	group.Go(func() error { return socket.Serve(callers, i.listeners.Caller) })
	group.Go(func() error { return socket.Serve(operators, i.listeners.Operator) })
	group.Go(func() error { return peerCalls.Serve(i.listeners.Peer) })
	<-ctx.Done()
	i.stop(callers, peerCalls)
	end()
	_ = operators.Close()
	err := group.Wait()
	i.log.Info("instance stopped", zap.Error(err))
	return err
}

// Fresh gives a view that was confirmed recently enough for new work.
func (i *Instance) Fresh(ctx context.Context) (view.View, error) { return i.follower.Fresh(ctx) }

// update passes a new view on. The upstreams of a failure domain that is back start cold.
func (i *Instance) update(v view.View) {
	i.directory.Update(v)
	i.peers.Update(v)
	out := v.Config().ExcludedDomains()
	returned := slices.DeleteFunc(i.out, func(name string) bool { return slices.Contains(out, name) })
	i.out = out
	if len(returned) > 0 {
		i.log.Info("failure domains return", zap.Strings("failure-domains", returned))
		i.directory.ResetWarmup(v, returned)
	}
}

func (i *Instance) revision() uint64 { return i.follower.Current().Config().Revision() }

func (i *Instance) heard(revision uint64) { i.heardFrom("", revision) }

func (i *Instance) heardFrom(peer string, revision uint64) {
	i.follower.ObserveRevision(peer, revision)
}

func (i *Instance) listen() error {
	if i.listeners.Caller != nil {
		return nil
	}
	var err error
	if i.listeners.Caller, err = net.Listen("tcp", i.settings.CallerAddress); err != nil {
		return fmt.Errorf("caller address: %w", err)
	}
	if i.listeners.Peer, err = net.Listen("tcp", i.settings.PeerAddress); err != nil {
		return fmt.Errorf("peer address: %w", err)
	}
	if i.listeners.Operator, err = net.Listen("tcp", i.settings.OperatorAddress); err != nil {
		return fmt.Errorf("operator address: %w", err)
	}
	return nil
}
