// Package instance assembles one instance of the query tier and runs it until its context ends. It opens the addresses for
// callers, other instances and operators, and connects them to the handlers, the dispatcher of attempts to upstreams and the
// view of configuration and members.
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

// Instance is one instance of the query tier.
type Instance struct {
	settings    process.Settings
	log         *zap.Logger
	incarnation uint64
	listeners   Listeners

	follower        *follower.Follower
	peers           *peers.Peers
	directory       *directory.Directory
	dispatcher      *dispatch.Dispatcher
	runner          *runner.Runner
	coordinator     *coordinator.Coordinator
	metrics         *metric.Metrics
	detector        *detector.Detector
	inFlight        *inflight.Tracker
	stopping        atomic.Bool
	forceStop       <-chan os.Signal
	excludedDomains []string // excluded failure domains, as of the last view
}

// Listeners holds the listeners of an instance.
type Listeners struct {
	Caller, Peer, Operator net.Listener
}

// Option configures an Instance.
type Option func(*Instance)

// WithListeners uses the given listeners instead of the addresses in the settings.
func WithListeners(l Listeners) Option {
	return func(i *Instance) { i.listeners = l }
}

// WithForceStop cuts a planned stop short when signals is closed or receives a signal.
func WithForceStop(signals <-chan os.Signal) Option {
	return func(i *Instance) { i.forceStop = signals }
}

// New assembles an instance without starting it.
func New(s process.Settings, log *zap.Logger, options ...Option) *Instance {
	i := &Instance{
		settings:    s,
		log:         log.With(zap.String("instance", s.Instance)),
		incarnation: uint64(time.Now().UnixNano()),
		directory:   directory.New(s.Instance),
		metrics:     metric.New(),
		detector:    detector.New(),
		inFlight:    inflight.New(),
	}
	for _, o := range options {
		o(i)
	}
	i.assemble()
	i.registerGauges()
	i.registerUpstreamGauges()
	return i
}

func (i *Instance) assemble() {
	s := i.settings
	self := member.Member{Name: s.Instance, Kind: member.KindInstance, FailureDomain: s.FailureDomain, Region: s.Region}
	i.peers = peers.New(s.Instance, s.Peers, i.detector, i.revision, i.observePeerRevision)
	i.follower = follower.New(self, reader.New(s.PlatformAddress), i.peers, i.detector, i.log, i.updateView,
		follower.WithSeeds(s.Peers), follower.WithCounter(i.metrics.Count))
	sender := dispatch.New(s.Instance, i.follower, i.directory, i.peers, dispatch.WithObserver(i.upstreamChanged), dispatch.WithRefusalObserver(i.upstreamRefused))
	i.dispatcher = sender
	i.runner = runner.New(sender, runner.WithMeter(i.metrics), runner.WithCurrentView(i.follower.Current))
	i.coordinator = coordinator.New(s.Instance, i.incarnation, []byte(s.TicketKey), sender, i.peers, i)
	i.registerOrderMetrics()
	i.registerLinkMetrics()
}

// Run serves until ctx ends, then finishes what is in flight and returns nil.
func (i *Instance) Run(ctx context.Context) error {
	if err := i.listen(); err != nil {
		return err
	}
	i.log.Info("instance starts", zap.Uint64("incarnation", i.incarnation))
	backgroundCtx, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	prefix := fmt.Sprintf("%s-%x", i.settings.Instance, i.incarnation)
	handler := i.inFlight.Handler(entry.New(i, i.runner, i.coordinator, i.metrics, prefix))
	callerServer := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	operatorServer := &http.Server{Handler: operator.New(i, i.metrics), ReadHeaderTimeout: headerTimeout}
	peerServer := server.New(i.peerMethods(), i.revision, i.observeRevision, server.WithErrorHandler(i.peerConnectionFailed))

	var group errgroup.Group
	group.Go(func() error { i.follower.Run(backgroundCtx); return nil })
	group.Go(func() error { i.dispatcher.Run(backgroundCtx); return nil })
	group.Go(func() error { return socket.Serve(callerServer, i.listeners.Caller) })
	group.Go(func() error { return socket.Serve(operatorServer, i.listeners.Operator) })
	group.Go(func() error { return peerServer.Serve(i.listeners.Peer) })
	<-ctx.Done()
	i.stop(callerServer, peerServer)
	stopBackground()
	_ = operatorServer.Close()
	err := group.Wait()
	i.log.Info("instance stopped", zap.Error(err))
	return err
}

// Fresh returns a view that was confirmed recently enough for new work.
func (i *Instance) Fresh(ctx context.Context) (view.View, error) { return i.follower.Fresh(ctx) }

// updateView passes a new view to the directory and the peers. Upstreams of a readmitted failure domain start cold.
func (i *Instance) updateView(v view.View) {
	i.directory.Update(v)
	i.peers.Update(v)
	excluded := v.Config().ExcludedDomains()
	readmitted := slices.DeleteFunc(i.excludedDomains, func(name string) bool { return slices.Contains(excluded, name) })
	i.excludedDomains = excluded
	if len(readmitted) > 0 {
		i.log.Info("failure domains return", zap.Strings("failure-domains", readmitted))
		i.directory.ResetWarmup(v, readmitted)
	}
}

func (i *Instance) revision() uint64 { return i.follower.Current().Config().Revision() }

func (i *Instance) observeRevision(revision uint64) { i.observePeerRevision("", revision) }

func (i *Instance) observePeerRevision(peer string, revision uint64) {
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
