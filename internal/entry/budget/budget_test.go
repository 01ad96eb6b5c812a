package budget

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func address(i int) Address { return Address{byte(i >> 8), byte(i)} }

// client is a connection of a test.
type client struct {
	*Account
	number  int
	evicted bool
}

// rig holds connections that were opened, in this order.
type rig struct {
	*Budget
	clients []*client
}

func newRig(l Limits) *rig { return &rig{Budget: New(l)} }

// open opens a connection that holds 10 bytes. It returns nil if it is refused.
func (r *rig) open(source int) *client {
	c := &client{number: len(r.clients)}
	c.Account = r.NewAccount(address(source), 10, func() { c.evicted = true })
	r.clients = append(r.clients, c)
	if !c.Open() {
		return nil
	}
	return c
}

// evicted returns the numbers of the connections that were closed.
func (r *rig) evicted() []int {
	var numbers []int
	for _, c := range r.clients {
		if c.evicted {
			numbers = append(numbers, c.number)
		}
	}
	return numbers
}

// TestOldestFirst guards against an ordinary request that is closed in place of one that waits for its caller for longer.
func TestOldestFirst(t *testing.T) {
	r := newRig(Limits{Connections: 3})
	first, second := r.open(1), r.open(1)
	require.NotNil(t, r.open(1))
	first.Begin() // the caller sends another request
	require.NotNil(t, r.open(1))
	require.Equal(t, []int{1}, r.evicted())
	require.False(t, second.Reserve(1), "a closed connection gets nothing")
	second.Close()
	_, connections := r.Used()
	require.Equal(t, 3, connections)
}

// TestCrowdTakesFromItself guards against a crowd that displaces callers of other addresses, with connections or with memory.
func TestCrowdTakesFromItself(t *testing.T) {
	r := newRig(Limits{Connections: 10, Bytes: 1000})
	other := r.open(1)
	for range 50 {
		c := r.open(2)
		require.NotNil(t, c)
		require.True(t, c.Reserve(100))
	}
	require.False(t, other.evicted)
	require.True(t, other.Reserve(300), "the memory of the crowd is available to others")
	require.False(t, other.evicted)
}

// TestMemoryForOthers guards against requests of one address that run and hold all memory, so that no other address can begin one.
func TestMemoryForOthers(t *testing.T) {
	r := newRig(Limits{Bytes: 1000})
	for {
		c := r.open(1)
		if c == nil || !c.Reserve(50) {
			break
		}
		c.Work()
	}
	require.Empty(t, r.evicted(), "requests that run are not closed")
	bytes, _ := r.Used()
	require.LessOrEqual(t, bytes, int64(750))
	other := r.open(2)
	require.NotNil(t, other)
	require.True(t, other.Reserve(200))
}

// TestManyAddresses checks that of many addresses with one connection each the one that has waited longest is closed.
func TestManyAddresses(t *testing.T) {
	r := newRig(Limits{Connections: 5})
	for i := range 8 {
		require.NotNil(t, r.open(i))
	}
	require.Equal(t, []int{0, 1, 2}, r.evicted())
}

// TestReadyAnswer checks that an answer counts also if there is no room, that its connection stays open,
// and that room is made among the connections of the same address.
func TestReadyAnswer(t *testing.T) {
	r := newRig(Limits{Bytes: 100})
	waiting, writing := r.open(1), r.open(1)
	writing.Work()
	writing.Charge(500)
	require.True(t, waiting.evicted)
	require.False(t, writing.evicted)
	bytes, _ := r.Used()
	require.Equal(t, int64(510), bytes)
	writing.Release(500)
	writing.End()
	bytes, _ = r.Used()
	require.Equal(t, int64(10), bytes)
}

// model is the test's own count of what each connection holds.
type model struct {
	*rig
	limits  Limits
	held    map[*client]int64
	working map[*client]bool
}

// pick returns one of the open connections. It skips the step if there is none.
func (m *model) pick(t *rapid.T) *client {
	var present []*client
	for _, c := range m.clients {
		if _, ok := m.held[c]; ok {
			present = append(present, c)
		}
	}
	if len(present) == 0 {
		t.Skip("no connection is open")
	}
	return rapid.SampledFrom(present).Draw(t, "client")
}

func (m *model) openOne(t *rapid.T) {
	if c := m.open(rapid.IntRange(0, 4).Draw(t, "source")); c != nil {
		m.held[c] = 10
	}
}

func (m *model) reserve(t *rapid.T) {
	c, n := m.pick(t), rapid.Int64Range(0, 300).Draw(t, "n")
	if c.Reserve(n) {
		m.held[c] += n
	}
}

func (m *model) release(t *rapid.T) {
	c, n := m.pick(t), rapid.Int64Range(0, 300).Draw(t, "n")
	c.Release(n)
	m.held[c] = max(10, m.held[c]-n)
}

func (m *model) work(t *rapid.T) {
	c := m.pick(t)
	c.Work()
	m.working[c] = true
}

func (m *model) wait(t *rapid.T) {
	c := m.pick(t)
	c.Wait()
	delete(m.working, c)
}

func (m *model) end(t *rapid.T) {
	c := m.pick(t)
	c.End()
	m.held[c] = 10
	delete(m.working, c)
}

func (m *model) closeOne(t *rapid.T) {
	c := m.pick(t)
	c.Close()
	delete(m.held, c)
}

// check compares the budget with the sum over the connections.
func (m *model) check(t *rapid.T) {
	var want int64
	for c, n := range m.held {
		if c.evicted {
			require.False(t, m.working[c], "a running request was closed")
			delete(m.held, c)
			continue
		}
		want += n
	}
	bytes, connections := m.Used()
	require.Equal(t, want, bytes)
	require.Equal(t, len(m.held), connections)
	require.True(t, m.limits.Bytes == 0 || bytes <= m.limits.Bytes)
	require.True(t, m.limits.Connections == 0 || connections <= m.limits.Connections)
	require.LessOrEqual(t, len(m.sources), connections, "addresses without connections are dropped")
}

// TestRandomCallers guards, for random callers, against memory that is counted twice or never returned, against limits that are passed, and
// against running requests that are closed.
func TestRandomCallers(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", "3"))
	require.NoError(t, flag.Set("rapid.checks", "1000"))
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Bytes: rapid.Int64Range(0, 2000).Draw(t, "bytes"), Connections: rapid.IntRange(0, 20).Draw(t, "connections")}
		m := &model{rig: newRig(limits), limits: limits, held: make(map[*client]int64), working: make(map[*client]bool)}
		t.Repeat(map[string]func(*rapid.T){
			"open": m.openOne, "reserve": m.reserve, "release": m.release, "work": m.work, "wait": m.wait, "end": m.end, "close": m.closeOne,
			"": m.check,
		})
	})
}

func BenchmarkRequest(b *testing.B) {
	budget := New(Limits{Bytes: 1 << 30, Connections: 10_000})
	var accounts []*Account
	for i := range 1000 {
		a := budget.NewAccount(address(i%200), 20<<10, func() {})
		a.Open()
		accounts = append(accounts, a)
	}
	i := 0
	for b.Loop() {
		a := accounts[i%len(accounts)]
		i++
		a.Begin()
		a.Reserve(3000)
		a.Work()
		a.End()
	}
}

// BenchmarkEviction measures a connection that displaces another one, of 2,000 addresses.
func BenchmarkEviction(b *testing.B) {
	budget := New(Limits{Connections: 2000})
	i := 0
	for b.Loop() {
		budget.NewAccount(address(i), 10, func() {}).Open()
		i++
	}
}
