package table_test

import (
	"flag"
	"fmt"
	"runtime"
	"testing"
	"time"

	"crocuswing/internal/order/outcome"
	"crocuswing/internal/order/table"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var (
	bodyA, bodyB = table.Hash{1}, table.Hash{2}
	done         = outcome.Outcome{State: outcome.Done, OrderID: "order-1"}
)

func ExampleTable_Begin() {
	t := table.New()
	id, end := t.Issue(0)
	e, first, _ := t.Begin(id, end, bodyA, time.Second)
	fmt.Println("run it:", first)
	e.Finish(done)
	again, first, _ := t.Begin(id, end, bodyA, time.Minute)
	fmt.Println("run it again:", first, again.Outcome().State)
	_, _, o := t.Begin(id, end, bodyB, time.Minute)
	fmt.Println(o.State, o.Refusal)
	// Output:
	// run it: true
	// run it again: false done
	// unknown conflict
}

// TestFullTable fills a table to either bound; what runs is kept, what is refused stays refused.
func TestFullTable(t *testing.T) {
	for _, c := range []struct {
		name  string
		bound table.Option
		room  int
	}{
		{"count", table.WithMaxTickets(3), 3},
		{"bytes", table.WithMaxBytes(2000), 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			tb := table.New(c.bound, table.WithLifetime(time.Minute), table.WithRetention(time.Hour))
			var running []*table.Entry
			for range c.room {
				id, end := tb.Issue(0)
				e, first, _ := tb.Begin(id, end, bodyA, 0)
				require.True(t, first)
				running = append(running, e)
			}
			id, end := tb.Issue(0)
			e, _, o := tb.Begin(id, end, bodyA, 0)
			require.Nil(t, e)
			require.Equal(t, outcome.Refused(outcome.RefusedFull, outcome.NotRun, "the table of tickets is full"), o)

			// Past the end of the tickets the finished entry gives way, and the running ones do not.
			running[1].Finish(done)
			later, end2 := tb.Issue(2 * time.Minute)
			_, first, _ := tb.Begin(later, end2, bodyA, 2*time.Minute)
			require.True(t, first)
			_, first, o = tb.Begin(id, end, bodyA, 0)
			require.False(t, first)
			require.Equal(t, outcome.NotRun, o.State)
			require.Equal(t, c.room, tb.Stats().Running)
			require.Equal(t, uint64(1), tb.Stats().Dropped)
		})
	}
}

// model remembers every ticket for ever.
type model struct {
	table   *table.Table
	now     time.Duration
	seen    time.Duration // the newest reading that the table got
	tickets []*known
}

type known struct {
	id      uint64
	end     time.Duration
	body    table.Hash
	entry   *table.Entry
	begun   bool
	ended   bool
	outcome outcome.Outcome
	refused bool // not-run was stated without an entry
}

const (
	window     = 32
	maxTickets = 3
)

// reading gives a reading of the clock, old if the caller was paused after it.
func (m *model) reading(rt *rapid.T) time.Duration {
	now := m.now - time.Duration(rapid.IntRange(0, 3).Draw(rt, "paused"))*10*time.Second
	m.seen = max(m.seen, now)
	return now
}

func (m *model) pick(rt *rapid.T) *known {
	if len(m.tickets) == 0 {
		rt.Skip()
	}
	return rapid.SampledFrom(m.tickets).Draw(rt, "ticket")
}

func (m *model) issue(rt *rapid.T) {
	id, end := m.table.Issue(m.reading(rt))
	require.Equal(rt, m.seen+10*time.Second, end)
	m.tickets = append(m.tickets, &known{id: id, end: end})
}

func (m *model) begin(rt *rapid.T) {
	k := m.pick(rt)
	body := rapid.SampledFrom([]table.Hash{bodyA, bodyB}).Draw(rt, "body")
	e, first, o := m.table.Begin(k.id, k.end, body, m.reading(rt))
	switch {
	case first:
		require.False(rt, k.begun || k.refused || m.seen >= k.end, "an order began that must not")
		k.begun, k.body, k.entry = true, body, e
	case e != nil:
		require.True(rt, k.begun && k.body == body, "another order was joined")
		m.checkEntry(rt, k, e)
	default:
		m.checkWithout(rt, k, o, k.begun && k.body != body)
		require.NotEqual(rt, outcome.NotPlaced, o.State)
	}
}

func (m *model) finish(rt *rapid.T) {
	k := m.pick(rt)
	if !k.begun || k.ended {
		rt.Skip()
	}
	state := rapid.SampledFrom([]string{outcome.Done, outcome.NotRun, outcome.Unknown}).Draw(rt, "state")
	k.ended, k.outcome = true, outcome.Outcome{State: state, Reason: "reason"}
	k.entry.Finish(k.outcome)
}

func (m *model) ask(rt *rapid.T) {
	k := m.pick(rt)
	e, o := m.table.Get(k.id, k.end, m.reading(rt))
	m.answered(rt, k, e, o)
}

func (m *model) withdraw(rt *rapid.T) {
	k := m.pick(rt)
	e, o := m.table.Withdraw(k.id, k.end, m.reading(rt))
	require.NotEqual(rt, outcome.NotPlaced, o.State)
	m.answered(rt, k, e, o)
}

func (m *model) answered(rt *rapid.T, k *known, e *table.Entry, o outcome.Outcome) {
	if e != nil {
		m.checkEntry(rt, k, e)
		return
	}
	m.checkWithout(rt, k, o, false)
}

func (m *model) checkEntry(rt *rapid.T, k *known, e *table.Entry) {
	require.Same(rt, k.entry, e)
	if k.ended {
		<-e.Done()
		require.Equal(rt, k.outcome, e.Outcome())
	}
}

// checkWithout judges an answer that names no entry; conflict tells that the bodies differ.
func (m *model) checkWithout(rt *rapid.T, k *known, o outcome.Outcome, conflict bool) {
	held := k.begun && (m.seen < k.end || !k.ended)
	require.False(rt, held && !conflict, "the entry of a running or valid ticket is gone")
	switch o.State {
	case outcome.NotRun:
		require.True(rt, !k.begun || k.outcome.State == outcome.NotRun, "not-run is false")
		k.refused = k.refused || !k.begun
	case outcome.Unknown:
		forgotten := m.seen >= k.end && m.tickets[len(m.tickets)-1].id-k.id >= window
		require.True(rt, k.begun || forgotten, "unknown is stated without need")
	case outcome.NotPlaced:
		require.True(rt, !k.begun && !k.refused && m.seen < k.end)
	default:
		rt.Fatalf("state %q without an entry", o.State)
	}
}

func (m *model) advance(rt *rapid.T) {
	m.now += time.Duration(rapid.IntRange(0, 12).Draw(rt, "seconds")) * time.Second
}

func (m *model) check(rt *rapid.T) {
	running := 0
	for _, k := range m.tickets {
		if k.begun && !k.ended {
			running++
		}
	}
	idle := false
	select {
	case <-m.table.Idle():
		idle = true
	default:
	}
	s := m.table.Stats()
	if s.Running != running || idle != (running == 0) || s.Tickets > maxTickets {
		rt.Fatalf("%d orders run, the table states %+v, idle %t", running, s, idle)
	}
}

// TestTicketsAgainstModel compares the table with a model that forgets nothing.
func TestTicketsAgainstModel(t *testing.T) {
	for _, seed := range []string{"1", "2", "3"} {
		require.NoError(t, flag.Set("rapid.seed", seed))
		require.NoError(t, flag.Set("rapid.checks", "1000"))
		require.NoError(t, flag.Set("rapid.steps", "60"))
		require.NoError(t, flag.Set("rapid.nofailfile", "true"))
		rapid.Check(t, func(rt *rapid.T) {
			m := &model{table: table.New(table.WithMaxTickets(maxTickets), table.WithLifetime(10*time.Second),
				table.WithRetention(5*time.Second), table.WithWindow(window))}
			rt.Repeat(map[string]func(*rapid.T){
				"issue": m.issue, "begin": m.begin, "finish": m.finish, "ask": m.ask,
				"withdraw": m.withdraw, "advance": m.advance, "": m.check,
			})
		})
	}
}

// filled gives a table with n finished orders.
func filled(n int) (*table.Table, time.Duration) {
	t := table.New()
	var end time.Duration
	for range n {
		var id uint64
		id, end = t.Issue(0)
		e, _, _ := t.Begin(id, end, bodyA, 0)
		e.Finish(outcome.Outcome{State: outcome.Done, OrderID: fmt.Sprintf("u%d/order-%d", id%60, id)})
	}
	return t, end
}

func BenchmarkTable(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("lookup/%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			t, end := filled(n)
			runtime.GC()
			runtime.ReadMemStats(&after)
			marks := 1 << 20
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				_, _ = t.Get(uint64(i%n)+1, end, time.Second)
			}
			b.ReportMetric(float64(int(after.HeapAlloc)-int(before.HeapAlloc)-marks)/float64(n), "bytes/ticket")
			b.ReportMetric(float64(t.Stats().Bytes)/float64(n), "counted-bytes/ticket")
		})
		b.Run(fmt.Sprintf("record/%d", n), func(b *testing.B) {
			// Each step lets one old entry go for the new one, so that the table stays at n entries.
			t, _ := filled(0)
			step := 5 * time.Minute / time.Duration(n)
			b.ReportAllocs()
			for i := time.Duration(0); b.Loop(); i++ {
				id, end := t.Issue(i * step)
				e, first, _ := t.Begin(id, end, bodyA, i*step)
				if !first {
					b.Fatal("the order was refused")
				}
				e.Finish(done)
			}
			b.ReportMetric(float64(t.Stats().Tickets), "tickets")
		})
	}
}
