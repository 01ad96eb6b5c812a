package queue_test

import (
	"testing"
	"time"

	"crocuswing/internal/upstream/queue"

	"github.com/stretchr/testify/require"
)

const service = 10 * time.Millisecond

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func isGranted(w *queue.Waiter) bool {
	_, ok := w.Granted()
	return ok
}

func TestEnter(t *testing.T) {
	for _, c := range []struct {
		name    string
		waiting int
		left    time.Duration // until the deadline; 0 for none
		load    queue.Capacity
		refused bool
	}{
		{"empty", 0, 0, queue.Capacity{Limit: 1, ServiceTime: service}, false},
		{"deadline can be met", 1, 3 * service, queue.Capacity{Limit: 1, ServiceTime: service}, false},
		{"deadline cannot be met", 1, 3*service - 1, queue.Capacity{Limit: 1, ServiceTime: service}, true},
		{"a greater limit shortens the wait", 3, 3 * service, queue.Capacity{Limit: 2, ServiceTime: service}, false},
		{"wait is bounded", 25, 0, queue.Capacity{Limit: 1, ServiceTime: service}, true},
		{"length is bounded while the service time is unknown", 32, 0, queue.Capacity{Limit: 1}, true},
		{"no limit counts as one", 31, 0, queue.Capacity{}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var q queue.Queue
			for range c.waiting {
				_, err := q.Enqueue(start, time.Time{}, queue.Capacity{Limit: 100})
				require.NoError(t, err)
			}
			var deadline time.Time
			if c.left > 0 {
				deadline = start.Add(c.left)
			}
			_, err := q.Enqueue(start, deadline, c.load)
			var full *queue.Error
			require.Equal(t, c.refused, err != nil)
			if c.refused {
				require.ErrorAs(t, err, &full)
				require.Equal(t, c.waiting, full.Length)
			}
		})
	}
}

func TestGrantInOrderAndInTime(t *testing.T) {
	var q queue.Queue
	var waiters []*queue.Waiter
	for _, left := range []time.Duration{30 * time.Millisecond, time.Second, time.Second} {
		w, err := q.Enqueue(start, start.Add(left), queue.Capacity{Limit: 1})
		require.NoError(t, err)
		waiters = append(waiters, w)
	}
	require.True(t, q.Grant(start.Add(40*time.Millisecond)), "as after a pause")
	<-waiters[0].Done()
	<-waiters[1].Done()
	require.False(t, isGranted(waiters[0]), "its deadline has passed")
	require.True(t, isGranted(waiters[1]))
	require.False(t, q.Remove(waiters[1]))
	require.True(t, q.Remove(waiters[2]))
	require.False(t, q.Grant(start))
	require.Equal(t, start.Add(queue.MaxWait), waiters[2].Deadline(), "waiting is bounded in time")
}

func TestWaitingLeavesTimeForTheAnswer(t *testing.T) {
	var q queue.Queue
	w, err := q.Enqueue(start, start.Add(5*service), queue.Capacity{Limit: 1, ServiceTime: service})
	require.NoError(t, err)
	require.Equal(t, start.Add(4*service), w.Deadline())
}

func TestRefuse(t *testing.T) {
	var q queue.Queue
	w, err := q.Enqueue(start, time.Time{}, queue.Capacity{Limit: 1})
	require.NoError(t, err)
	q.RefuseAll()
	<-w.Done()
	require.False(t, isGranted(w))
	require.Zero(t, q.Len())
}
