package queue_test

import (
	"testing"
	"time"

	"crocuswing/internal/upstream/queue"

	"github.com/stretchr/testify/require"
)

const serviceTime = 10 * time.Millisecond

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func isGranted(w *queue.Waiter) bool {
	_, ok := w.Granted()
	return ok
}

func TestEnqueue(t *testing.T) {
	for _, c := range []struct {
		name     string
		waiting  int
		timeout  time.Duration // time until the deadline; 0 for none
		capacity queue.Capacity
		refused  bool
	}{
		{"empty", 0, 0, queue.Capacity{Limit: 1, ServiceTime: serviceTime}, false},
		{"deadline can be met", 1, 3 * serviceTime, queue.Capacity{Limit: 1, ServiceTime: serviceTime}, false},
		{"deadline cannot be met", 1, 3*serviceTime - 1, queue.Capacity{Limit: 1, ServiceTime: serviceTime}, true},
		{"a higher limit shortens the wait", 3, 3 * serviceTime, queue.Capacity{Limit: 2, ServiceTime: serviceTime}, false},
		{"wait is bounded", 25, 0, queue.Capacity{Limit: 1, ServiceTime: serviceTime}, true},
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
			if c.timeout > 0 {
				deadline = start.Add(c.timeout)
			}
			_, err := q.Enqueue(start, deadline, c.capacity)
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
	require.True(t, q.Grant(start.Add(40*time.Millisecond)), "the first waiter must not block the next ones after its deadline")
	<-waiters[0].Done()
	<-waiters[1].Done()
	require.False(t, isGranted(waiters[0]), "its deadline has passed")
	require.True(t, isGranted(waiters[1]))
	require.False(t, q.Remove(waiters[1]))
	require.True(t, q.Remove(waiters[2]))
	require.False(t, q.Grant(start))
	require.Equal(t, start.Add(queue.MaxWait), waiters[2].Deadline(), "waiting is bounded in time")
}

func TestWaitLeavesTimeForResponse(t *testing.T) {
	var q queue.Queue
	w, err := q.Enqueue(start, start.Add(5*serviceTime), queue.Capacity{Limit: 1, ServiceTime: serviceTime})
	require.NoError(t, err)
	require.Equal(t, start.Add(4*serviceTime), w.Deadline())
}

func TestRefuseAll(t *testing.T) {
	var q queue.Queue
	w, err := q.Enqueue(start, time.Time{}, queue.Capacity{Limit: 1})
	require.NoError(t, err)
	q.RefuseAll()
	<-w.Done()
	require.False(t, isGranted(w))
	require.Zero(t, q.Len())
}
