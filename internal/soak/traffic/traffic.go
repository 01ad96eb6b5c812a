// Package traffic sends requests to the instances of a soak test, as callers behind a load balancer do, and records their
// results.
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
	// connectionsPerInstance is the maximum number of connections from one caller to one instance.
	connectionsPerInstance = 2
	// outOfRotationShare is the share of requests for an instance out of rotation that are sent to it nevertheless, on connections
	// that are still open.
	outOfRotationShare = 0.3
	// cancelShare is the share of requests whose caller leaves within maxCancelDelay.
	cancelShare    = 0.04
	maxCancelDelay = 100 * time.Millisecond
	// lateWait is how long a caller waits beyond the timeout of a request, so that late answers are recorded.
	lateWait = 2 * time.Second
)

// Traffic sends the requests of simulated callers.
type Traffic struct {
	site        *site.Site
	rate        float64
	lastRequest atomic.Int64 // number in the ID of the newest request
}

// New returns traffic that sends rate requests per second in total.
func New(s *site.Site, rate float64) *Traffic { return &Traffic{site: s, rate: rate} }

// Run sends requests of the given number of callers until ctx is done, then waits for the remaining answers. The requests
// are drawn from seed.
func (t *Traffic) Run(ctx context.Context, callers int, seed uint64) {
	var wg sync.WaitGroup
	for i := range callers {
		random := rand.New(rand.NewPCG(seed, uint64(i)+1))
		wg.Go(func() {
			c := t.newCaller(random)
			defer c.close()
			for pause.For(ctx, time.Duration(random.ExpFloat64()*float64(callers)/t.rate*float64(time.Second))) {
				wg.Go(c.prepareRequest(c.pickInstance()))
			}
		})
	}
	wg.Wait()
}

// caller is one caller with connections to all instances.
type caller struct {
	*Traffic
	random *rand.Rand
	links  map[string]*link.Link
}

func (t *Traffic) newCaller(random *rand.Rand) *caller {
	c := &caller{Traffic: t, random: random, links: make(map[string]*link.Link)}
	for _, i := range t.site.Instances {
		c.links[i.Name] = link.New(i.Name, i.CallerProxy.Address(), connectionsPerInstance)
	}
	return c
}

func (c *caller) close() {
	for _, l := range c.links {
		l.Close()
	}
}

// pickInstance returns a random instance in rotation. It may also return one out of rotation, according to outOfRotationShare or
// if none of its draws is in rotation.
func (c *caller) pickInstance() *site.Instance {
	instances := c.site.Instances
	candidate := instances[c.random.IntN(len(instances))]
	if candidate.InRotation() || c.random.Float64() < outOfRotationShare {
		return candidate
	}
	for range instances {
		if i := instances[c.random.IntN(len(instances))]; i.InRotation() {
			return i
		}
	}
	return candidate
}

// prepareRequest draws a request and returns the function that sends it.
func (c *caller) prepareRequest(instance *site.Instance) func() {
	q := record.Request{
		ID: fmt.Sprintf("q%08d", c.lastRequest.Add(1)), Method: http.MethodGet, Instance: instance.Name, ProcessNumber: instance.Starts(),
		Timeout: 600*time.Millisecond + time.Duration(c.random.Int64N(int64(site.Timeout))),
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
		q.Path = c.site.ExtraRoutePath() + "x"
	}
	q.Key, q.IsEntitled = c.site.DrawKey(c.random)
	wait := q.Timeout + lateWait
	if c.random.Float64() < cancelShare {
		wait = time.Duration(c.random.Int64N(int64(maxCancelDelay)))
	}
	return func() { c.sendRequest(q, body, wait, c.links[instance.Name]) }
}

// sendRequest sends q and records it and its result. The caller leaves if there is no answer within wait.
func (c *caller) sendRequest(q record.Request, body []byte, wait time.Duration, l *link.Link) {
	headers := c.site.Headers()
	q.Sent = time.Now()
	c.site.BeginRequest(q)
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	resp, err := l.Forward(ctx, link.Request{
		ID: q.ID, Method: q.Method, Target: q.Path, Host: site.Host, Body: body,
		Header: func() http.Header {
			h := http.Header{headers.RequestID: {q.ID}, headers.Deadline: {strconv.FormatInt(q.Timeout.Milliseconds(), 10)}, "User-Agent": nil}
			if q.Key != "" {
				h.Set("Authorization", "Bearer "+q.Key)
			}
			return h
		},
	})
	var f *failure.Failure
	canceled := errors.As(err, &f) && f.Kind == failure.KindTimeout
	c.site.EndRequest(q.ID, time.Now(), resp.Status, resp.Header, resp.Body, canceled, err)
}
