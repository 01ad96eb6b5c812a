// Package site builds a whole site on loopback: a backend, instances and a balancer before them.
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
	instances    = 4
	readyTimeout = 10 * time.Second
	readyPoll    = 10 * time.Millisecond
	balancerLag  = 300 * time.Millisecond // from not ready until the balancer sends no more requests
	drainDelayMS = 600
)

// Site is a running site.
type Site struct {
	*backend.Backend
	Balancer *balancer.Balancer

	log   *zap.Logger
	group sync.WaitGroup

	mu       sync.Mutex
	started  int
	running  []*RunningInstance
	attempts attempts // of instances that have stopped
}

type attempts struct{ first, extra int64 }

// RunningInstance is one running instance of the site.
type RunningInstance struct {
	*instance.Instance
	Name    string
	Address string // for callers
	stop    context.CancelFunc
	done    chan struct{}
}

// Start builds the site and waits until all instances are ready.
func Start(log *zap.Logger, seed uint64) (*Site, error) {
	b, err := backend.Start(seed)
	if err != nil {
		return nil, err
	}
	s := &Site{Backend: b, log: log, Balancer: balancer.New()}
	for range instances {
		if err := s.StartInstance(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// Close stops everything.
func (s *Site) Close() {
	s.mu.Lock()
	running := s.running
	s.mu.Unlock()
	for _, r := range running {
		r.stop()
	}
	s.group.Wait()
	s.Backend.Close()
}

// Attempts gives the first and the extra attempts of all instances so far.
func (s *Site) Attempts() (first, extra int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := s.attempts
	for _, r := range s.running {
		st := r.Status()
		total.first += st.FirstAttempts
		total.extra += st.ExtraAttempts
	}
	return total.first, total.extra
}

// StartInstance starts one more instance, waits until it is ready and adds it to the balancer.
func (s *Site) StartInstance() error {
	l, err := listen()
	if err != nil {
		return err
	}
	s.mu.Lock()
	n := s.started
	s.started++
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
	s.run(ctx, r)
	return s.admit(r)
}

func (s *Site) run(ctx context.Context, r *RunningInstance) {
	s.mu.Lock()
	s.running = append(s.running, r)
	s.mu.Unlock()
	s.group.Go(func() {
		defer close(r.done)
		if err := r.Run(ctx); err != nil {
			s.log.Error("instance failed", zap.Error(err))
		}
	})
}

// admit adds an instance to the balancer once it is ready.
func (s *Site) admit(r *RunningInstance) error {
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

// ReplaceInstance stops the oldest instance as planned and starts another in its place.
func (s *Site) ReplaceInstance() error {
	s.mu.Lock()
	r := s.running[0]
	s.mu.Unlock()
	r.stop()
	time.Sleep(balancerLag)
	s.Balancer.Remove(r.Address)
	<-r.done
	s.Platform.RemoveMember(r.Name)
	st := r.Status()
	s.mu.Lock()
	s.running = s.running[1:]
	s.attempts.first += st.FirstAttempts
	s.attempts.extra += st.ExtraAttempts
	s.mu.Unlock()
	return s.StartInstance()
}

func listen() (instance.Listeners, error) {
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
