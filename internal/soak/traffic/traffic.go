// Package traffic sends requests to the instances of a soak, as callers behind a balancer do.
package traffic

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"crocuswing/internal/soak/record"
	"crocuswing/internal/soak/site"
	"crocuswing/internal/task/pause"
	"crocuswing/internal/upstream/failure"
	"crocuswing/internal/upstream/link"
)

const (
	// connectionsEach is the number of connections of one caller to one instance.
	connectionsEach = 2
	// stayShare of the requests go to an instance that is no longer in rotation, on connections that are still open.
	stayShare = 0.3
	// leaveShare of the callers leave within leaveWithin.
	leaveShare  = 0.04
	leaveWithin = 100 * time.Millisecond
	// lateAfter is how long after its time a caller waits for an answer, so that late ones are seen.
	lateAfter = 2 * time.Second
)

// Traffic is a number of callers.
type Traffic struct {
	site   *site.Site
	rate   float64
	number atomic.Int64
}

// New makes callers that send rate requests a second together.
func New(s *site.Site, rate float64) *Traffic { return &Traffic{site: s, rate: rate} }

// Run sends until ctx ends and then waits for the answers.
func (t *Traffic) Run(ctx context.Context, callers int, seed uint64) {
	var all sync.WaitGroup
	for i := range callers {
		random := rand.New(rand.NewPCG(seed, uint64(i)+1))
		all.Go(func() {
			c := t.caller(random)
			defer c.close()
			for pause.For(ctx, time.Duration(random.ExpFloat64()*float64(callers)/t.rate*float64(time.Second))) {
				all.Go(c.send(c.pick()))
			}
		})
	}
	all.Wait()
}

// caller keeps connections to all instances.
type caller struct {
	*Traffic
	random *rand.Rand
	links  map[string]*link.Link
}

func (t *Traffic) caller(random *rand.Rand) *caller {
	c := &caller{Traffic: t, random: random, links: make(map[string]*link.Link)}
	for _, i := range t.site.Instances {
		c.links[i.Name] = link.New(i.Name, i.Callers.Address(), connectionsEach)
	}
	return c
}

func (c *caller) close() {
	for _, l := range c.links {
		l.Close()
	}
}

// pick gives an instance in rotation, or now and then any.
func (c *caller) pick() *site.Instance {
	all := c.site.Instances
	any := all[c.random.IntN(len(all))]
	if any.InRotation() || c.random.Float64() < stayShare {
		return any
	}
	for range all {
		if i := all[c.random.IntN(len(all))]; i.InRotation() {
			return i
		}
	}
	return any
}

// send draws a request and gives the function that sends it.
func (c *caller) send(to *site.Instance) func() {
	q := record.Request{
		ID: fmt.Sprintf("q%08d", c.number.Add(1)), Method: http.MethodGet, Instance: to.Name, Process: to.Starts(),
		Wait: 600*time.Millisecond + time.Duration(c.random.Int64N(int64(site.Timeout))),
	}
	var body []byte
	switch n := c.random.IntN(10); {
	case n < 4:
		q.Path = site.SearchPath + strconv.Itoa(n)
	case n < 7:
		q.Method, q.Path, body = http.MethodPost, site.OrderPath+strconv.Itoa(n), []byte(q.ID)
	case n < 9:
		q.Path = site.FilePath + strconv.Itoa(n) + "?a=%2F&b"
	default:
		q.Path = c.site.Extra() + "x"
	}
	stay := q.Wait + lateAfter
	if c.random.Float64() < leaveShare {
		stay = time.Duration(c.random.Int64N(int64(leaveWithin)))
	}
	return func() { c.exchange(q, body, stay, c.links[to.Name]) }
}

func (c *caller) exchange(q record.Request, body []byte, stay time.Duration, l *link.Link) {
	names := c.site.Headers()
	q.Sent = time.Now()
	c.site.Begin(q)
	ctx, cancel := context.WithTimeout(context.Background(), stay)
	defer cancel()
	got, err := l.Forward(ctx, link.Request{
		Method: q.Method, Target: q.Path, Host: site.Host, Body: body,
		Header: func() http.Header {
			return http.Header{names.RequestID: {q.ID}, names.Deadline: {strconv.FormatInt(q.Wait.Milliseconds(), 10)}, "User-Agent": nil}
		},
	})
	var f *failure.Failure
	left := errors.As(err, &f) && f.Kind == failure.KindTimeout
	c.site.End(q.ID, time.Now(), got.Status, got.Header, got.Body, left, err)
}
