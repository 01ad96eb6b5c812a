// Package instance assembles one instance and runs it until it is told to stop.
package instance

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	entry "crocuswing/internal/entry/handler"
	"crocuswing/internal/fleet/follower"
	"crocuswing/internal/fleet/peers"
	"crocuswing/internal/fleet/view"
	operator "crocuswing/internal/operator/handler"
	"crocuswing/internal/operator/metric"
	"crocuswing/internal/operator/status"
	"crocuswing/internal/order/desk"
	"crocuswing/internal/peer/server"
	"crocuswing/internal/platform/reader"
	"crocuswing/internal/query/run"
	"crocuswing/internal/settings/process"
	"crocuswing/internal/upstream/directory"
	"crocuswing/internal/upstream/dispatch"
	"crocuswing/internal/upstream/target"
	"crocuswing/internal/wire/relay"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

const (
	maxViewAge    = 2500 * time.Millisecond
	finishTimeout = 30 * time.Second
	headerTimeout = 5 * time.Second
)

// Instance is one running instance.
type Instance struct {
	settings    process.Settings
	log         *zap.Logger
	incarnation uint64
	listeners   Listeners

	follower   *follower.Follower
	peers      *peers.Peers
	directory  *directory.Directory
	dispatcher *dispatch.Dispatcher
	runner     *run.Runner
	desk       *desk.Desk
	metrics    *metric.Metrics
	stopping   atomic.Bool
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

// NotReadyError refuses a request because the view is missing or too old.
type NotReadyError struct{ Reason string }

// Error gives the reason.
func (e *NotReadyError) Error() string { return "instance is not ready: " + e.Reason }

// New assembles an instance; nothing runs yet.
func New(s process.Settings, log *zap.Logger, options ...Option) *Instance {
	i := &Instance{
		settings:    s,
		log:         log.With(zap.String("instance", s.Instance)),
		incarnation: uint64(time.Now().UnixNano()),
		directory:   directory.New(s.Instance),
		metrics:     metric.New(),
	}
	for _, o := range options {
		o(i)
	}
	i.follower = follower.New(reader.New(s.PlatformAddress), i.log, i.update)
	i.peers = peers.New(s.Instance, i.revision, i.heard)
	sender := dispatch.New(s.Instance, i.follower, i.directory, i.peers, dispatch.WithObserver(i.changed))
	i.dispatcher = sender
	i.runner = run.New(sender)
	i.desk = desk.New(s.Instance, i.incarnation, []byte(s.TicketKey), sender, i.peers, i)
	i.measureOrders()
	return i
}

// Run serves until ctx ends, then finishes what is in flight and returns nil.
func (i *Instance) Run(ctx context.Context) error {
	if err := i.listen(); err != nil {
		return err
	}
	i.log.Info("instance starts", zap.Uint64("incarnation", i.incarnation))
	background, stop := context.WithCancel(context.Background())
	defer stop()
	prefix := fmt.Sprintf("%s-%x", i.settings.Instance, i.incarnation)
	callers := &http.Server{Handler: entry.New(i, i.runner, i.desk, i.metrics, prefix), ReadHeaderTimeout: headerTimeout}
	operators := &http.Server{Handler: operator.New(i, i.metrics), ReadHeaderTimeout: headerTimeout}
	peerCalls := server.New(map[string]server.Method{
		peers.MethodOrder:  i.placeForwarded,
		peers.MethodMint:   i.mintFor,
		peers.MethodRelay:  i.relay,
		peers.MethodNotice: i.notice,
	}, i.revision, i.heard)

	var group errgroup.Group
	group.Go(func() error { i.follower.Run(background); return nil })
	group.Go(func() error { i.dispatcher.Run(background); return nil })
	group.Go(func() error { return ignoreClosed(callers.Serve(i.listeners.Caller)) })
	group.Go(func() error { return ignoreClosed(operators.Serve(i.listeners.Operator)) })
	group.Go(func() error { return peerCalls.Serve(i.listeners.Peer) })
	<-ctx.Done()
	i.stop(callers, peerCalls)
	stop()
	_ = operators.Close()
	err := group.Wait()
	i.log.Info("instance stopped", zap.Error(err))
	return err
}

// stop serves on through the balancer's lag, then finishes what is in flight.
func (i *Instance) stop(callers *http.Server, peerCalls *server.Server) {
	i.stopping.Store(true)
	i.desk.Stop()
	i.log.Info("instance drains", zap.Int("delay-ms", i.settings.DrainDelayMS))
	time.Sleep(time.Duration(i.settings.DrainDelayMS) * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		i.log.Error("requests were cut off", zap.Error(err))
	}
	peerCalls.Shutdown(ctx)
	if n := i.desk.Wait(ctx); n > 0 {
		i.log.Error("orders were left with an unknown outcome", zap.Int("orders", n))
	}
	i.dispatcher.Wait(ctx)
	i.peers.Close()
}

// Fresh gives a view that was confirmed recently enough for new work.
func (i *Instance) Fresh(ctx context.Context) (view.View, error) {
	v := i.follower.Current()
	if v.IsComplete() && v.Age(time.Now()) <= maxViewAge {
		return v, nil
	}
	if err := i.follower.Refresh(ctx); err != nil {
		return view.View{}, &NotReadyError{Reason: err.Error()}
	}
	v = i.follower.Current()
	if !v.IsComplete() {
		return view.View{}, &NotReadyError{Reason: "no configuration or list was read yet"}
	}
	return v, nil
}

// Status describes the instance for operators.
func (i *Instance) Status() status.Status {
	v := i.follower.Current()
	first, extra := i.runner.Attempts()
	s := status.Status{
		Instance:      i.settings.Instance,
		Incarnation:   fmt.Sprintf("%x", i.incarnation),
		FailureDomain: i.settings.FailureDomain,
		Revision:      v.Config().Revision(),
		Preset:        v.Config().Preset().Name,
		DomainsOut:    v.Config().DomainsOut(),
		ViewAgeMS:     v.Age(time.Now()).Milliseconds(),
		ListVersion:   v.Roster().Version(),
		Tickets:       i.desk.Stats().Tickets,
		FirstAttempts: first,
		ExtraAttempts: extra,
		Cold:          make([]string, 0),
	}
	for _, t := range i.directory.Targets() {
		s.Upstreams++
		if t.IsCold() {
			s.Cold = append(s.Cold, t.Name())
		}
	}
	s.NotReadyReason = i.notReadyReason(v)
	s.Ready = s.NotReadyReason == ""
	return s
}

func (i *Instance) notReadyReason(v view.View) string {
	switch {
	case i.stopping.Load():
		return "the instance stops"
	case !v.IsComplete():
		return "no configuration or list was read yet"
	case v.Age(time.Now()) > maxViewAge:
		return "the view is too old"
	}
	return ""
}

func (i *Instance) update(v view.View) {
	i.directory.Update(v)
	i.peers.Update(v)
}

func (i *Instance) revision() uint64 { return i.follower.Current().Config().Revision() }

func (i *Instance) heard(uint64) {}

// relay runs an attempt that another instance sends through this one.
func (i *Instance) relay(ctx context.Context, body []byte) (any, error) {
	var q relay.Request
	if err := msgpack.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	if (q.Part == nil) == (q.Order == nil) {
		return nil, errors.New("want exactly one of part and order")
	}
	if _, err := i.Fresh(ctx); err != nil {
		return nil, err
	}
	return i.dispatcher.Relayed(ctx, q), nil
}

// notice takes what another home saw of upstreams.
func (i *Instance) notice(_ context.Context, body []byte) (any, error) {
	var notices []relay.Notice
	if err := msgpack.Unmarshal(body, &notices); err != nil {
		return nil, err
	}
	i.dispatcher.Notified(notices)
	return nil, nil
}

// changed logs a change of an upstream's state.
func (i *Instance) changed(upstream string, c target.Change) {
	i.log.Info("upstream changed", zap.String("upstream", upstream), zap.String("incarnation", c.Incarnation),
		zap.Bool("warm-up-began", c.Restarted), zap.Bool("warm-up-ended", c.Warmed), zap.Bool("leaving", c.Left))
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

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
