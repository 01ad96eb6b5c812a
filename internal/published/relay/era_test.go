package relay

import (
	"context"
	"fmt"
	"testing"
	"time"

	"crocuswing/internal/published/change"
	"crocuswing/internal/published/registration"
	"crocuswing/internal/published/state"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// readCount returns the number of reads of the store so far.
func (r *registry) readCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reads
}

// TestReturnOfStore bounds the time until all instances follow the store after it has come back from an older copy, and the reads of the store
// that this costs: one that reads for all is enough, and a herd of all instances would keep the store from coming back.
func TestReturnOfStore(t *testing.T) {
	for _, n := range []int{4, 78, 300} {
		for _, outage := range []time.Duration{0, 600 * time.Millisecond, 3 * time.Second} {
			t.Run(fmt.Sprint(n, " instances, away for ", outage), func(t *testing.T) {
				t.Parallel()
				runFreezable(t, n, func(t *testing.T, c *freezableFleet, _ []*freezable) {
					older := c.copy()
					c.register("lost", 1)
					time.Sleep(5 * time.Second)
					c.setDown(true)
					time.Sleep(outage)
					c.restore(older)
					c.setDown(false)
					before, restored := c.readCount(), time.Now()
					c.register("lost", 2)
					c.register("later", 1)
					var followed time.Duration
					for ; followed == 0; time.Sleep(10 * time.Millisecond) {
						require.Less(t, time.Since(restored), 10*time.Second)
						all := true
						for _, x := range c.instances {
							require.True(t, x.has("lost"))
							all = all && x.has("later")
						}
						if all {
							followed = time.Since(restored)
						}
					}
					time.Sleep(10*time.Second - time.Since(restored))
					reads := c.readCount() - before
					t.Logf("all follow after %v, %d reads in 10 s", followed, reads)
					require.LessOrEqual(t, followed, 1500*time.Millisecond)
					require.LessOrEqual(t, reads, 3*n/2+20)
					for _, x := range c.instances {
						require.EqualValues(t, 2, x.process.Load().follow.Position().Era)
						require.True(t, x.has("lost"))
					}
				})
			})
		}
	}
}

// TestHalfInEachEra lets half of the instances read a store that has come back, and the others one that has not. Nobody takes over anything
// older, and all follow the newer one once they can.
func TestHalfInEachEra(t *testing.T) {
	runFreezable(t, 8, func(t *testing.T, c *freezableFleet, ranked []*freezable) {
		older := c.copy()
		c.register("v", 1)
		time.Sleep(2 * time.Second)
		for _, x := range ranked[:4] { // the root among them
			c.setAvailable(x.name, false)
		}
		c.restore(older)
		c.register("v", 2)
		c.register("w", 1)
		highest := make(map[string]int64)
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			for _, x := range ranked {
				era := x.process.Load().follow.Position().Era
				require.GreaterOrEqual(t, era, highest[x.name])
				highest[x.name] = era
				require.True(t, x.has("v"))
			}
		}
		for _, x := range ranked {
			require.True(t, x.has("w"), x.name)
		}
	})
}

// fixedSource is a source of updates at a fixed position.
type fixedSource struct {
	at, asked change.Position
}

func (s *fixedSource) Await(_ context.Context, after change.Position) state.Update {
	s.asked = after
	return state.Update{Position: s.at}
}
func (*fixedSource) Age() (time.Duration, bool)  { return 0, true }
func (s *fixedSource) Position() change.Position { return s.at }

// TestMessagesOfBothReleases exchanges messages with instances of the former release, which know no era.
func TestMessagesOfBothReleases(t *testing.T) {
	type formerRequest struct {
		Revision int64 `msgpack:"r"`
	}
	s := &fixedSource{at: change.Position{Era: 3, Revision: 9}}
	ask := func(q any) (reply, error) {
		body, err := msgpack.Marshal(q)
		require.NoError(t, err)
		got, err := Handler(s)(t.Context(), body)
		if err != nil {
			return reply{}, err
		}
		return got.(reply), nil
	}
	_, err := ask(formerRequest{Revision: 7})
	require.NoError(t, err)
	require.Equal(t, change.Position{Era: 3, Revision: 7}, s.asked, "a request without an era counts as one of the known era")
	got, err := ask(request{Revision: 50, Era: 2, Now: true})
	require.NoError(t, err)
	require.EqualValues(t, 3, got.Era)
	require.Equal(t, change.Position{Era: 2, Revision: 50}, s.asked)
	_, err = ask(request{Revision: 1, Era: 4, Now: true})
	var era *change.EraError
	require.ErrorAs(t, err, &era)

	var former struct {
		Revision int64 `msgpack:"r"`
		AgeMS    int64 `msgpack:"a"`
	}
	body, err := msgpack.Marshal(reply{Revision: 5, Era: 2, AgeMS: 7, HeldMS: 1})
	require.NoError(t, err)
	require.NoError(t, msgpack.Unmarshal(body, &former))
	require.EqualValues(t, 5, former.Revision)
	require.EqualValues(t, 7, former.AgeMS)
}

// TestAgeOfReply guards against an answer that an instance gets late, since it was paused, and takes for a new one.
func TestAgeOfReply(t *testing.T) {
	r := reply{AgeMS: 100, HeldMS: 501}
	require.Equal(t, 120*time.Millisecond, r.ageAfter(520*time.Millisecond))
	require.Equal(t, 4600*time.Millisecond, r.ageAfter(5*time.Second))
	former := reply{AgeMS: 100}
	require.Equal(t, 100*time.Millisecond, former.ageAfter(time.Second))
	require.Equal(t, 3700*time.Millisecond, former.ageAfter(5*time.Second))
}

// FuzzMessages checks that no message of another instance stops this one or takes it back to an earlier position.
func FuzzMessages(f *testing.F) {
	for _, m := range []any{request{Revision: 3, Era: 2, Now: true}, request{Revision: -1, Era: -1}, reply{Revision: 1, Era: 1, Full: true, Items: []change.Item{{Key: "u/a", Value: []byte(`{}`)}}}, map[string]any{"r": "x"}} {
		body, err := msgpack.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		known := change.Position{Era: 2, Revision: 5}
		if got, err := Handler(&fixedSource{at: known})(t.Context(), body); err == nil {
			require.Equal(t, known.Era, got.(reply).Era)
		}
		var got reply
		if msgpack.Unmarshal(body, &got) != nil {
			return
		}
		st := state.New(time.Second)
		u := &registration.Registration{Upstream: "u", Incarnation: 1, Sequence: 1}
		st.Apply(change.Batch{Position: known, Changes: []change.Change{{Item: change.Item{Key: "u/u"}, Name: "u", Registration: u}}}, time.Now())
		b := change.Batch{Full: got.Full, Position: change.Position{Era: got.Era, Revision: got.Revision}, Relayed: true}
		v, _ := st.Apply(b, time.Now())
		require.GreaterOrEqual(t, v.Compare(known), 0)
	})
}
