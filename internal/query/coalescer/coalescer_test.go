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
	ms      = time.Millisecond
	longest = 1000 * ms
	took    = 100 * ms
)

var key = coalescer.Key{Caller: "a", Revision: 1, Service: "search", Query: "q"}

// read is one read; it starts after and hangs up or has its deadline as given, 0 for never.
type read struct {
	key      coalescer.Key
	after    time.Duration
	deadline time.Duration
	hangUp   time.Duration
}

func other(change func(*coalescer.Key)) coalescer.Key {
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
		withdrawn  int
	}{
		{"identical", []read{{key: key}, {key: key, after: 50 * ms}}, 1, 0, 0},
		{"after the end", []read{{key: key}, {key: key, after: 101 * ms}}, 2, 0, 0},
		{"other caller", []read{{key: key}, {key: other(func(k *coalescer.Key) { k.Caller = "b" })}}, 2, 0, 0},
		{"other revision", []read{{key: key}, {key: other(func(k *coalescer.Key) { k.Revision = 2 })}}, 2, 0, 0},
		{"other service", []read{{key: key}, {key: other(func(k *coalescer.Key) { k.Service = "b" })}}, 2, 0, 0},
		{"other query", []read{{key: key}, {key: other(func(k *coalescer.Key) { k.Query = "b" })}}, 2, 0, 0},
		{"lookup", []read{{key: key}, {key: other(func(k *coalescer.Key) { k.Query, k.Key = "", "q" })}}, 2, 0, 0},
		{"first hangs up", []read{{key: key, hangUp: 50 * ms}, {key: key, after: 10 * ms}}, 1, 1, 0},
		{"second hangs up", []read{{key: key}, {key: key, after: 10 * ms, hangUp: 50 * ms}}, 1, 1, 0},
		{"all hang up", []read{{key: key, hangUp: 50 * ms}, {key: key, hangUp: 60 * ms}}, 1, 2, 1},
		{"after all hung up", []read{{key: key, hangUp: 50 * ms}, {key: key, after: 60 * ms}}, 2, 1, 1},
		{"earlier deadline", []read{{key: key}, {key: key, after: ms, deadline: 500 * ms}}, 2, 0, 0},
		{"much later deadline", []read{{key: key, deadline: 500 * ms}, {key: key, after: ms}}, 2, 0, 0},
		{"deadline passes", []read{{key: key, deadline: 50 * ms}}, 1, 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				executions, failed, withdrawn := runReads(c.reads)
				require.Equal(t, c.executions, executions, "executions")
				require.Equal(t, c.failed, failed, "failed")
				require.Equal(t, c.withdrawn, withdrawn, "withdrawn")
			})
		})
	}
}

// runReads counts executions, failed reads and withdrawn executions.
func runReads(reads []read) (executions, failed, withdrawn int) {
	f := coalescer.New()
	var mu sync.Mutex
	run := func(ctx context.Context) (answer.Answer, error) {
		mu.Lock()
		executions++
		mu.Unlock()
		select {
		case <-time.After(took):
			return answer.Answer{Snapshot: "s1"}, nil
		case <-ctx.Done():
			mu.Lock()
			withdrawn++
			mu.Unlock()
			return answer.Answer{}, ctx.Err()
		}
	}
	var group sync.WaitGroup
	for _, r := range reads {
		group.Go(func() {
			time.Sleep(r.after)
			ctx, cancel := context.WithCancel(context.Background())
			if r.deadline > 0 {
				ctx, cancel = context.WithTimeout(context.Background(), r.deadline)
			}
			defer cancel()
			if r.hangUp > 0 {
				time.AfterFunc(r.hangUp-r.after, cancel)
			}
			a, err := f.Do(ctx, r.key, longest, run)
			if err != nil || a.Snapshot != "s1" {
				mu.Lock()
				failed++
				mu.Unlock()
			}
		})
	}
	group.Wait()
	synctest.Wait()
	return executions, failed, withdrawn
}

func ExampleCoalescer() {
	f := coalescer.New()
	a, err := f.Do(context.Background(), coalescer.Key{Caller: "buyer", Service: "search", Query: "cotton"}, time.Second,
		func(context.Context) (answer.Answer, error) { return answer.Answer{Snapshot: "s1"}, nil })
	fmt.Println(a.Snapshot, err, f.Joined())
	// Output: s1 <nil> 0
}

func TestErrorIsShared(t *testing.T) {
	failure := errors.New("no such service")
	_, err := coalescer.New().Do(context.Background(), key, longest,
		func(context.Context) (answer.Answer, error) { return answer.Answer{}, failure })
	require.ErrorIs(t, err, failure)
}
