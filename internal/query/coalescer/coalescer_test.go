package coalescer_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/query/answer"
	"crocuswing/internal/query/coalescer"

	"github.com/stretchr/testify/require"
)

const (
	ms            = time.Millisecond
	maxDuration   = 1000 * ms
	executionTime = 100 * ms
)

var key = coalescer.Key{Caller: "a", Revision: 1, Service: "search", Query: "q"}

// read starts after delay. Its deadline counts from then, cancelAt from the start of the test; 0 means none.
type read struct {
	key      coalescer.Key
	delay    time.Duration
	deadline time.Duration
	cancelAt time.Duration
}

func keyWith(change func(*coalescer.Key)) coalescer.Key {
	k := key
	change(&k)
	return k
}

func TestSharing(t *testing.T) {
	for _, c := range []struct {
		name       string
		reads      []read
		executions int
		failed     int
		canceled   int
	}{
		{"identical", []read{{key: key}, {key: key, delay: 50 * ms}}, 1, 0, 0},
		{"after the end", []read{{key: key}, {key: key, delay: 101 * ms}}, 2, 0, 0},
		{"other caller", []read{{key: key}, {key: keyWith(func(k *coalescer.Key) { k.Caller = "b" })}}, 2, 0, 0},
		{"other revision", []read{{key: key}, {key: keyWith(func(k *coalescer.Key) { k.Revision = 2 })}}, 2, 0, 0},
		{"other service", []read{{key: key}, {key: keyWith(func(k *coalescer.Key) { k.Service = "b" })}}, 2, 0, 0},
		{"other query", []read{{key: key}, {key: keyWith(func(k *coalescer.Key) { k.Query = "b" })}}, 2, 0, 0},
		{"lookup", []read{{key: key}, {key: keyWith(func(k *coalescer.Key) { k.Query, k.Key = "", "q" })}}, 2, 0, 0},
		{"first reader leaves", []read{{key: key, cancelAt: 50 * ms}, {key: key, delay: 10 * ms}}, 1, 1, 0},
		{"second reader leaves", []read{{key: key}, {key: key, delay: 10 * ms, cancelAt: 50 * ms}}, 1, 1, 0},
		{"all readers leave", []read{{key: key, cancelAt: 50 * ms}, {key: key, cancelAt: 60 * ms}}, 1, 2, 1},
		{"after all readers left", []read{{key: key, cancelAt: 50 * ms}, {key: key, delay: 60 * ms}}, 2, 1, 1},
		{"earlier deadline", []read{{key: key}, {key: key, delay: ms, deadline: 500 * ms}}, 2, 0, 0},
		{"much later deadline", []read{{key: key, deadline: 500 * ms}, {key: key, delay: ms}}, 2, 0, 0},
		{"deadline passes", []read{{key: key, deadline: 50 * ms}}, 1, 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				executions, failed, canceled := runReads(c.reads)
				require.Equal(t, c.executions, executions, "executions")
				require.Equal(t, c.failed, failed, "failed")
				require.Equal(t, c.canceled, canceled, "canceled")
			})
		})
	}
}

// runReads runs the reads and counts executions, failed reads and canceled executions.
func runReads(reads []read) (executions, failed, canceled int) {
	c := coalescer.New()
	var mu sync.Mutex
	run := func(ctx context.Context) (answer.Answer, error) {
		mu.Lock()
		executions++
		mu.Unlock()
		select {
		case <-time.After(executionTime):
			return answer.Answer{Snapshot: "s1"}, nil
		case <-ctx.Done():
			mu.Lock()
			canceled++
			mu.Unlock()
			return answer.Answer{}, ctx.Err()
		}
	}
	var wg sync.WaitGroup
	for _, r := range reads {
		wg.Go(func() {
			time.Sleep(r.delay)
			ctx, cancel := context.WithCancel(context.Background())
			if r.deadline > 0 {
				ctx, cancel = context.WithTimeout(context.Background(), r.deadline)
			}
			defer cancel()
			if r.cancelAt > 0 {
				time.AfterFunc(r.cancelAt-r.delay, cancel)
			}
			a, err := c.Do(ctx, r.key, maxDuration, run)
			if err != nil || a.Snapshot != "s1" {
				mu.Lock()
				failed++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	synctest.Wait()
	return executions, failed, canceled
}

func ExampleCoalescer() {
	c := coalescer.New()
	a, err := c.Do(context.Background(), coalescer.Key{Caller: "buyer", Service: "search", Query: "cotton"}, time.Second,
		func(context.Context) (answer.Answer, error) { return answer.Answer{Snapshot: "s1"}, nil })
	fmt.Println(a.Snapshot, err, c.Joined())
	// Output: s1 <nil> 0
}

func TestErrorIsShared(t *testing.T) {
	failure := errors.New("no such service")
	_, err := coalescer.New().Do(context.Background(), key, maxDuration,
		func(context.Context) (answer.Answer, error) { return answer.Answer{}, failure })
	require.ErrorIs(t, err, failure)
}
