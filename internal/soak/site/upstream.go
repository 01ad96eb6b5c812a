package site

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"crocuswing/internal/published/registration"
	"crocuswing/internal/soak/record"
	"crocuswing/internal/standin/latecopy"
	"crocuswing/internal/standin/proxy"
	"crocuswing/internal/standin/replica"

	"github.com/cespare/xxhash/v2"
)

// Upstream is a simulated upstream behind a proxy, registered in the store.
type Upstream struct {
	*replica.Replica
	Proxy  *proxy.Proxy
	site   *Site
	server *http.Server

	mu           sync.Mutex
	registration registration.Registration
	lateCopies   float64 // share of the responses that are sent a second time, late
	random       *rand.Rand
}

// AddUpstream starts an upstream of a service in a failure domain behind a new address.
func (s *Site) AddUpstream(service, domain string) (*Upstream, error) {
	p, err := proxy.New("")
	if err != nil {
		return nil, err
	}
	return s.startUpstream(s.nextUpstreamName(), service, domain, p, 0)
}

// nextUpstreamName returns the name of the next upstream.
func (s *Site) nextUpstreamName() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.upstreamCount++
	return upstreamName(s.upstreamCount)
}

func upstreamName(n int) string { return fmt.Sprintf("u-%d", n) }

// startUpstream starts an upstream behind a proxy and registers it. If cold is above 0, it is registered as cold for that time.
func (s *Site) startUpstream(name, service, domain string, p *proxy.Proxy, cold time.Duration) (*Upstream, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &Upstream{Proxy: p, site: s, registration: registration.Registration{
		Upstream: name, Service: service, Address: p.Address(), FailureDomain: domain, Slots: slots, Cold: cold,
		Incarnation: time.Now().UnixMilli(), Sequence: 1,
	}, random: rand.New(rand.NewPCG(xxhash.Sum64String(name), 6))}
	u.Replica = replica.New(name, replica.Options{
		HeaderNames: s.Headers(), Slots: slots, Queue: queueLimit, Records: RecordsPerPart, ReportsWork: reportsWork(service),
		ServiceTime: func(r *rand.Rand) time.Duration {
			return baseServiceTime + time.Duration(r.Int64N(int64(baseServiceTime)))
		},
		Observe: func(a replica.Arrival) { s.AddArrival(record.Arrival{Arrival: a, Service: service, Domain: domain}) },
	})
	u.server = &http.Server{Handler: u.Replica, ReadHeaderTimeout: Timeout}
	go func() { _ = u.server.Serve(latecopy.New(l, u.isCopied)) }() // returns after close
	p.SetTarget(l.Addr().String())
	if cold > 0 {
		s.MarkCold(name, true)
		time.AfterFunc(cold, func() { s.MarkCold(name, false) })
	}
	s.ClearDraining(name)
	s.Register(u.registration)
	s.mu.Lock()
	s.upstreams = append(s.upstreams, u)
	s.mu.Unlock()
	return u, nil
}

// reportsWork reports whether the upstreams of a service report loads with four figures, as about half of the services do.
func reportsWork(service string) bool { return xxhash.Sum64String(service)%2 == 0 }

// Service returns the name of the upstream's service.
func (u *Upstream) Service() string { return u.registration.Service }

// Domain returns the failure domain of the upstream.
func (u *Upstream) Domain() string { return u.registration.FailureDomain }

// SetLateCopies sets the share of the responses that the upstream sends a second time, late. Package latecopy says when.
func (u *Upstream) SetLateCopies(share float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lateCopies = share
}

func (u *Upstream) isCopied([]byte) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.random.Float64() < u.lateCopies
}

// RenewRegistration registers the upstream again, as upstreams do periodically, and no longer as cold. It does nothing if the
// upstream has ended.
func (u *Upstream) RenewRegistration() {
	if !slices.Contains(u.site.Upstreams(), u) {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.registration.Sequence++
	u.registration.Cold = 0
	u.site.Register(u.registration)
}

// repeatRegistration registers the upstream again in its present state, with the remaining time for which it is cold.
func (u *Upstream) repeatRegistration() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.registration.Sequence++
	r := u.registration
	r.Cold = max(0, r.Cold-time.Since(time.UnixMilli(r.Incarnation)))
	u.site.Register(r)
}

// ExpireRegistration removes the registration of the upstream, which keeps running; RenewRegistration restores it.
func (u *Upstream) ExpireRegistration() { u.site.Unregister(u.ID()) }

// Drain registers the upstream as draining. It keeps serving until Crash.
func (u *Upstream) Drain() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.registration.Sequence++
	u.registration.Draining = true
	u.site.Register(u.registration)
	u.site.MarkDraining(u.ID())
}

// Crash ends the upstream at once and removes its registration, as the store does with one that is not renewed. It reports false
// if the upstream has already ended.
func (u *Upstream) Crash() bool {
	u.site.mu.Lock()
	i := slices.Index(u.site.upstreams, u)
	if i >= 0 {
		u.site.upstreams = slices.Delete(slices.Clone(u.site.upstreams), i, i+1)
	}
	u.site.mu.Unlock()
	if i < 0 {
		return false
	}
	_ = u.Proxy.SetDown(true) // can only fail when it accepts connections again
	u.close()
	u.site.Unregister(u.ID())
	return true
}

// Restart crashes the upstream and starts it again after delay with the same name and address, cold. It does nothing if the
// upstream has already ended.
func (u *Upstream) Restart(delay time.Duration) error {
	if !u.Crash() {
		return nil
	}
	time.Sleep(delay)
	if err := u.Proxy.SetDown(false); err != nil {
		return err
	}
	_, err := u.site.startUpstream(u.ID(), u.Service(), u.Domain(), u.Proxy, coldDuration)
	return err
}

// ReassignAddress crashes the upstream, starts an upstream of the given service at its address and a new upstream of its own
// service at another address. It does nothing if the upstream has already ended.
func (u *Upstream) ReassignAddress(service string) error {
	if !u.Crash() {
		return nil
	}
	time.Sleep(addressReuseDelay)
	if err := u.Proxy.SetDown(false); err != nil {
		return err
	}
	if _, err := u.site.startUpstream(u.site.nextUpstreamName(), service, u.Domain(), u.Proxy, 0); err != nil {
		return err
	}
	_, err := u.site.AddUpstream(u.Service(), u.Domain())
	return err
}

// addressReuseDelay is the minimum time before an address is reused.
const addressReuseDelay = 2 * time.Second

func (u *Upstream) close() { _ = u.server.Close() }
