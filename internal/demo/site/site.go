// Package site runs a complete site on loopback addresses: a backend, instances and a load balancer in front of them.
package site

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"crocuswing/internal/demo/backend"
	"crocuswing/internal/fleet/member"
	"crocuswing/internal/serve/instance"
	"crocuswing/internal/settings/process"
	"crocuswing/internal/standin/balancer"

	"go.uber.org/zap"
)

const (
	instanceCount = 4
	readyTimeout  = 10 * time.Second
	readyPoll     = 10 * time.Millisecond
	balancerDelay = 300 * time.Millisecond // from not ready until the balancer stops sending requests
	drainDelayMS  = 600
)

// Site is a running backend with instances and a load balancer. Instances can be added and replaced while it serves requests.
type Site struct {
	*backend.Backend
	Balancer *balancer.Balancer

	log *zap.Logger
	wg  sync.WaitGroup

	mu              sync.Mutex
	startedCount    int
	instances       []*RunningInstance
	stoppedAttempts attempts // attempts of instances that have stopped
}

// attempts counts the attempts that instances have sent to upstreams.
type attempts struct{ first, extra int64 }

// RunningInstance is an instance of the site that has been started.
type RunningInstance struct {
	*instance.Instance
	Name    string
	Address string // address for callers
	stop    context.CancelFunc
	done    chan struct{}
}

// Start starts a site and waits until all instances are ready.
func Start(log *zap.Logger, seed uint64) (*Site, error) {
	b, err := backend.Start(seed)
	if err != nil {
		return nil, err
	}
	s := &Site{Backend: b, log: log, Balancer: balancer.New()}
	for range instanceCount {
		if err := s.StartInstance(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// Close stops the instances and then the backend.
func (s *Site) Close() {
	s.mu.Lock()
	instances := s.instances
	s.mu.Unlock()
	for _, r := range instances {
		r.stop()
	}
	s.wg.Wait()
	s.Backend.Close()
}

// Attempts returns the numbers of first and extra attempts that all instances have made so far.
func (s *Site) Attempts() (first, extra int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := s.stoppedAttempts
	for _, r := range s.instances {
		st := r.Status()
		total.first += st.FirstAttempts
		total.extra += st.ExtraAttempts
	}
	return total.first, total.extra
}

// StartInstance starts another instance, waits until it is ready and adds it to the balancer.
func (s *Site) StartInstance() error {
	l, err := newListeners()
	if err != nil {
		return err
	}
	s.mu.Lock()
	n := s.startedCount
	s.startedCount++
	s.mu.Unlock()
	d := backend.Domains[n%len(backend.Domains)]
	settings := process.Settings{
		Instance:        fmt.Sprintf("instance-%d", n),
		FailureDomain:   d.Name,
		Region:          d.Region,
		PlatformAddress: s.Address,
		TicketKey:       backend.TicketKey,
		DrainDelayMS:    drainDelayMS,
	}
	s.Platform.SetMember(member.Member{
		Name:          settings.Instance,
		Kind:          member.KindInstance,
		FailureDomain: d.Name,
		Region:        d.Region,
		Address:       l.Peer.Addr().String(),
		State:         member.StateLive,
	})
	ctx, stop := context.WithCancel(context.Background())
	r := &RunningInstance{
		Instance: instance.New(settings, s.log, instance.WithListeners(l)),
		Name:     settings.Instance,
		Address:  l.Caller.Addr().String(),
		stop:     stop,
		done:     make(chan struct{}),
	}
	s.runInstance(ctx, r)
	return s.addWhenReady(r)
}

func (s *Site) runInstance(ctx context.Context, r *RunningInstance) {
	s.mu.Lock()
	s.instances = append(s.instances, r)
	s.mu.Unlock()
	s.wg.Go(func() {
		defer close(r.done)
		if err := r.Run(ctx); err != nil {
			s.log.Error("instance failed", zap.Error(err))
		}
	})
}

// addWhenReady waits until an instance is ready and adds it to the balancer.
func (s *Site) addWhenReady(r *RunningInstance) error {
	deadline := time.Now().Add(readyTimeout)
	for !r.Status().Ready {
		if time.Now().After(deadline) {
			return fmt.Errorf("instance %s is not ready: %s", r.Name, r.Status().NotReadyReason)
		}
		time.Sleep(readyPoll)
	}
	s.Balancer.Add(r.Address)
	return nil
}

// ReplaceInstance shuts the oldest instance down gracefully and starts a new one in its place.
func (s *Site) ReplaceInstance() error {
	s.mu.Lock()
	r := s.instances[0]
	s.mu.Unlock()
	r.stop()
	time.Sleep(balancerDelay)
	s.Balancer.Remove(r.Address)
	<-r.done
	s.Platform.RemoveMember(r.Name)
	st := r.Status()
	s.mu.Lock()
	s.instances = s.instances[1:]
	s.stoppedAttempts.first += st.FirstAttempts
	s.stoppedAttempts.extra += st.ExtraAttempts
	s.mu.Unlock()
	return s.StartInstance()
}

func newListeners() (instance.Listeners, error) {
	var all [3]net.Listener
	for n := range all {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return instance.Listeners{}, err
		}
		all[n] = l
	}
	return instance.Listeners{Caller: all[0], Peer: all[1], Operator: all[2]}, nil
}
