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
	hashA, hashB = table.Hash{1}, table.Hash{2}
	doneOutcome  = outcome.Outcome{State: outcome.Done, OrderID: "order-1"}
)

func ExampleTable_Begin() {
	t := table.New()
	id, expiry := t.Issue(0)
	e, first, _ := t.Begin(id, expiry, hashA, time.Second)
	fmt.Println("run it:", first)
	e.Finish(doneOutcome)
	again, first, _ := t.Begin(id, expiry, hashA, time.Minute)
	fmt.Println("run it again:", first, again.Outcome().State)
	_, _, o := t.Begin(id, expiry, hashB, time.Minute)
	fmt.Println(o.State, o.Refusal)
	// Output:
	// run it: true
	// run it again: false done
	// unknown conflict
}

// TestFullTable fills a table up to either limit. Entries of orders that run must be kept, and a ticket that was
// refused must stay refused once there is room.
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
			tbl := table.New(c.bound, table.WithLifetime(time.Minute), table.WithRetention(time.Hour))
			var running []*table.Entry
			for range c.room {
				id, expiry := tbl.Issue(0)
				e, first, _ := tbl.Begin(id, expiry, hashA, 0)
				require.True(t, first)
				running = append(running, e)
			}
			id, expiry := tbl.Issue(0)
			e, _, o := tbl.Begin(id, expiry, hashA, 0)
			require.Nil(t, e)
			require.Equal(t, outcome.Refused(outcome.RefusedFull, outcome.NotRun, "the table of tickets is full"), o)

			// After the tickets expire, the finished entry is dropped for a new one; the running ones are kept.
			running[1].Finish(doneOutcome)
			later, laterExpiry := tbl.Issue(2 * time.Minute)
			_, first, _ := tbl.Begin(later, laterExpiry, hashA, 2*time.Minute)
			require.True(t, first)
			_, first, o = tbl.Begin(id, expiry, hashA, 0)
			require.False(t, first)
			require.Equal(t, outcome.NotRun, o.State)
			require.Equal(t, c.room, tbl.Stats().Running)
			require.Equal(t, uint64(1), tbl.Stats().Dropped)
		})
	}
}

// model is a reference implementation of the table that keeps every ticket.
type model struct {
	table   *table.Table
	now     time.Duration
	latest  time.Duration // latest reading of the clock that the table received
	tickets []*modelTicket
}

type modelTicket struct {
	id      uint64
	expiry  time.Duration
	hash    table.Hash
	entry   *table.Entry
	begun   bool
	ended   bool
	outcome outcome.Outcome
	closed  bool // not-run was reported without an entry
}

const (
	window     = 32
	maxTickets = 3
)

// readClock returns a reading of the clock, which is up to 30 s old to simulate a caller that was paused after it.
func (m *model) readClock(rt *rapid.T) time.Duration {
	now := m.now - time.Duration(rapid.IntRange(0, 3).Draw(rt, "paused"))*10*time.Second
	m.latest = max(m.latest, now)
	return now
}

func (m *model) pickTicket(rt *rapid.T) *modelTicket {
	if len(m.tickets) == 0 {
		rt.Skip()
	}
	return rapid.SampledFrom(m.tickets).Draw(rt, "ticket")
}

func (m *model) issue(rt *rapid.T) {
	id, expiry := m.table.Issue(m.readClock(rt))
	require.Equal(rt, m.latest+10*time.Second, expiry)
	m.tickets = append(m.tickets, &modelTicket{id: id, expiry: expiry})
}

func (m *model) begin(rt *rapid.T) {
	k := m.pickTicket(rt)
	hash := rapid.SampledFrom([]table.Hash{hashA, hashB}).Draw(rt, "body")
	e, first, o := m.table.Begin(k.id, k.expiry, hash, m.readClock(rt))
	switch {
	case first:
		require.False(rt, k.begun || k.closed || m.latest >= k.expiry, "an order began under a ticket that does not allow it")
		k.begun, k.hash, k.entry = true, hash, e
	case e != nil:
		require.True(rt, k.begun && k.hash == hash, "the entry belongs to a different order")
		m.checkEntry(rt, k, e)
	default:
		m.checkWithoutEntry(rt, k, o, k.begun && k.hash != hash)
		require.NotEqual(rt, outcome.NotPlaced, o.State)
	}
}

func (m *model) finish(rt *rapid.T) {
	k := m.pickTicket(rt)
	if !k.begun || k.ended {
		rt.Skip()
	}
	state := rapid.SampledFrom([]string{outcome.Done, outcome.NotRun, outcome.Unknown}).Draw(rt, "state")
	k.ended, k.outcome = true, outcome.Outcome{State: state, Reason: "reason"}
	k.entry.Finish(k.outcome)
}

func (m *model) get(rt *rapid.T) {
	k := m.pickTicket(rt)
	e, o := m.table.Get(k.id, k.expiry, m.readClock(rt))
	m.checkResult(rt, k, e, o)
}

func (m *model) withdraw(rt *rapid.T) {
	k := m.pickTicket(rt)
	e, o := m.table.Withdraw(k.id, k.expiry, m.readClock(rt))
	require.NotEqual(rt, outcome.NotPlaced, o.State)
	m.checkResult(rt, k, e, o)
}

func (m *model) checkResult(rt *rapid.T, k *modelTicket, e *table.Entry, o outcome.Outcome) {
	if e != nil {
		m.checkEntry(rt, k, e)
		return
	}
	m.checkWithoutEntry(rt, k, o, false)
}

func (m *model) checkEntry(rt *rapid.T, k *modelTicket, e *table.Entry) {
	require.Same(rt, k.entry, e)
	if k.ended {
		<-e.Done()
		require.Equal(rt, k.outcome, e.Outcome())
	}
}

// checkWithoutEntry checks an outcome that was returned without an entry. conflict is whether the order differs from the first
// one under the ticket.
func (m *model) checkWithoutEntry(rt *rapid.T, k *modelTicket, o outcome.Outcome, conflict bool) {
	retained := k.begun && (m.latest < k.expiry || !k.ended)
	require.False(rt, retained && !conflict, "the entry of a running order or a valid ticket is missing")
	switch o.State {
	case outcome.NotRun:
		require.True(rt, !k.begun || k.outcome.State == outcome.NotRun, "not-run is reported for an order that may have run")
		k.closed = k.closed || !k.begun
	case outcome.Unknown:
		forgotten := m.latest >= k.expiry && m.tickets[len(m.tickets)-1].id-k.id >= window
		require.True(rt, k.begun || forgotten, "unknown is reported for an order that cannot have run")
	case outcome.NotPlaced:
		require.True(rt, !k.begun && !k.closed && m.latest < k.expiry)
	default:
		rt.Fatalf("unexpected state %q without an entry", o.State)
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
		rt.Fatalf("%d orders run, but the table reports %+v, idle %t", running, s, idle)
	}
}

// TestTicketsAgainstModel compares the table with a model that never drops a ticket, for random sequences of calls.
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
				"issue": m.issue, "begin": m.begin, "finish": m.finish, "ask": m.get,
				"withdraw": m.withdraw, "advance": m.advance, "": m.check,
			})
		})
	}
}

// filledTable returns a table with n finished orders and the expiry of their tickets.
func filledTable(n int) (*table.Table, time.Duration) {
	t := table.New()
	var expiry time.Duration
	for range n {
		var id uint64
		id, expiry = t.Issue(0)
		e, _, _ := t.Begin(id, expiry, hashA, 0)
		e.Finish(outcome.Outcome{State: outcome.Done, OrderID: fmt.Sprintf("u%d/order-%d", id%60, id)})
	}
	return t, expiry
}

func BenchmarkTable(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("lookup/%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			t, expiry := filledTable(n)
			runtime.GC()
			runtime.ReadMemStats(&after)
			stateBytes := 1 << 20
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				_, _ = t.Get(uint64(i%n)+1, expiry, time.Second)
			}
			b.ReportMetric(float64(int(after.HeapAlloc)-int(before.HeapAlloc)-stateBytes)/float64(n), "bytes/ticket")
			b.ReportMetric(float64(t.Stats().Bytes)/float64(n), "counted-bytes/ticket")
		})
		b.Run(fmt.Sprintf("record/%d", n), func(b *testing.B) {
			// Each step drops one old entry for the new one, so that the table stays at n entries.
			t, _ := filledTable(0)
			step := 5 * time.Minute / time.Duration(n)
			b.ReportAllocs()
			for i := time.Duration(0); b.Loop(); i++ {
				id, expiry := t.Issue(i * step)
				e, first, _ := t.Begin(id, expiry, hashA, i*step)
				if !first {
					b.Fatal("the order was refused")
				}
				e.Finish(doneOutcome)
			}
			b.ReportMetric(float64(t.Stats().Tickets), "tickets")
		})
	}
}

// TestMakeRoomAfterLastDrop checks that an order begins if the last drop that one call permits makes room for it.
func TestMakeRoomAfterLastDrop(t *testing.T) {
	const permittedDrops = 8
	tbl := table.New(table.WithMaxTickets(permittedDrops), table.WithLifetime(time.Minute), table.WithRetention(time.Hour))
	var running []*table.Entry
	for n := range permittedDrops {
		id, expiry := tbl.Issue(0)
		e, first, _ := tbl.Begin(id, expiry, hashA, 0)
		require.True(t, first)
		if n == permittedDrops-1 {
			e.Finish(doneOutcome)
		} else {
			running = append(running, e) // is moved to the end of the queue, which counts as a drop
		}
	}
	id, expiry := tbl.Issue(2 * time.Minute)
	_, first, o := tbl.Begin(id, expiry, hashB, 2*time.Minute)
	require.True(t, first, "refused with %+v although there is room", o)
	require.Len(t, running, permittedDrops-1)
}
