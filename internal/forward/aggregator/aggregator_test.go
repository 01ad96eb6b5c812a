package aggregator

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/fleet/membership"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

var regions = map[string]string{"a1": "a", "a2": "a", "b1": "b"}

// fleet is the Members of one instance. answer fills the reply to each call.
type fleet struct {
	self       string
	selfMember membership.Member
	members    []membership.Member
	answer     func(reply any) error
}

func (f fleet) Members() []membership.Member { return f.members }

func (f fleet) Self() membership.Member {
	m := f.selfMember
	m.Name = f.self
	return m
}

func (f fleet) Call(_ context.Context, _, _ string, _, reply any) error { return f.answer(reply) }

func (f fleet) Connect(context.Context, string) error { return nil }

func newFleet(self string, perDomain int) fleet {
	f := fleet{self: self}
	for domain := range regions {
		for n := range perDomain {
			name := fmt.Sprintf("%s-%d", domain, n)
			f.members = append(f.members, membership.Member{Name: name, Address: name, FailureDomain: domain})
		}
	}
	return withUnknown(f)
}

// withUnknown adds an instance of a former release, which states no failure domain, and one of an unknown failure domain.
func withUnknown(f fleet) fleet {
	f.members = append(f.members, membership.Member{Name: "old", Address: "old"}, membership.Member{Name: "far", Address: "far", FailureDomain: "z"})
	return f
}

// TestPick checks that requests are spread over a few instances of the region, which differ between the instances that ask.
func TestPick(t *testing.T) {
	asked := make(map[string]int)
	const askers = 100
	for n := range askers {
		s := New(newFleet(fmt.Sprint("asker-", n), 50), regions)
		own := make(map[string]bool)
		for id := range 100 {
			m, ok := s.Pick("a", fmt.Sprint("request-", id))
			require.True(t, ok)
			require.Equal(t, "a", regions[m.FailureDomain])
			own[m.Name] = true
			asked[m.Name]++
		}
		require.Len(t, own, perRegion)
		_, ok := s.Pick("z", "request")
		require.False(t, ok)
	}
	// Random choices of 2 of 100 instances by 100 askers leave out one in e^2, with a standard deviation of 3.
	require.Greater(t, len(asked), 74, "of 100 instances of the region")
}

// TestAvoidance checks that an instance is out of use after one miss, longer after each further one, and again in use after an answer.
func TestAvoidance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(newFleet("asker", 1), regions)
		m, ok := s.Pick("b", "q")
		require.True(t, ok)
		for _, want := range []time.Duration{1, 2, 4, 8, 16, 16} {
			s.Missed(m)
			s.Missed(m) // of a request that began before
			start := time.Now()
			for {
				if _, ok := s.Pick("b", "q"); ok {
					break
				}
				time.Sleep(100 * time.Millisecond)
			}
			require.Equal(t, want*time.Second, time.Since(start))
		}
		s.Answered(m)
		s.Missed(m)
		time.Sleep(firstAvoidance)
		_, ok = s.Pick("b", "q")
		require.True(t, ok)
	})
}

// TestInvalidReply checks that parts of shards that were not asked for, or without a proof each, are rejected.
func TestInvalidReply(t *testing.T) {
	asked := Set{}.With(3).With(9)
	for _, c := range []struct {
		reply Reply
		valid bool
	}{
		{Reply{}, true},
		{Reply{Answered: Set{}.With(3), Proofs: []string{"p"}}, true},
		{Reply{Answered: Set{}.With(4), Proofs: []string{"p"}}, false},
		{Reply{Answered: Set{}.With(30), Proofs: []string{"p"}}, false},
		{Reply{Answered: Set{}.With(3), Proofs: []string{"p", "q"}}, false},
		{Reply{Answered: Set{}.With(3)}, false},
	} {
		f := newFleet("asker", 1)
		f.answer = func(reply any) error { *reply.(*Reply) = c.reply; return nil }
		s := New(f, regions)
		_, err := s.Gather(t.Context(), membership.Member{}, Request{Shards: asked})
		_, restErr := s.Rest(t.Context(), membership.Member{}, RestRequest{ID: "q"}, asked)
		var invalid *InvalidReplyError
		if c.valid {
			require.NoError(t, err)
			require.NoError(t, restErr)
		} else {
			require.ErrorAs(t, err, &invalid)
			require.ErrorAs(t, restErr, &invalid)
		}
	}
}

func TestSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := make(map[int]bool)
		var s Set
		for _, n := range rapid.SliceOf(rapid.IntRange(0, 300)).Draw(t, "members") {
			s = s.With(n)
			want[n] = true
		}
		require.Equal(t, len(want), s.Len())
		for n := -1; n < 320; n++ {
			require.Equal(t, want[n], s.Has(n))
		}
	})
}

// FuzzMessages checks that any bytes decode to a message or an error, and that a reply that passes its check is consistent.
func FuzzMessages(f *testing.F) {
	for _, m := range []any{
		Request{ID: "q", Shards: Set{1, 2}, TimeLeftUS: 5, Header: map[string][]string{"A": {"b"}}},
		Reply{Answered: Set{8}, Proofs: []string{"p"}, Records: make([]byte, 16), Late: Set{1}},
		RestRequest{ID: "q"},
	} {
		text, err := msgpack.Marshal(m)
		require.NoError(f, err)
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var q Request
		_ = msgpack.Unmarshal(text, &q)
		var r Reply
		if msgpack.Unmarshal(text, &r) == nil && r.check(Set{0xff}) == nil {
			require.LessOrEqual(t, len(r.Proofs), 8)
		}
	})
}
