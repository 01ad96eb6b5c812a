package departure

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func ExampleRegister() {
	r := New()
	r.Open("u", 1).Announce(time.Now())
	r.Release("u", time.Now()) // the registration lapses
	_, same := r.Open("u", 1).Announced()
	_, next := r.Open("u", 2).Announced()
	fmt.Println(same, next)
	// Output: true false
}

// TestRetention checks that the register forgets upstreams without a registration, at once unless they have announced that they leave.
func TestRetention(t *testing.T) {
	r, now := New(), time.Now()
	r.Open("quiet", 1)
	r.Open("leaving", 1)
	r.Announce("leaving", now)
	r.Announce("unknown", now)
	r.Release("quiet", now)
	r.Release("leaving", now)
	require.Len(t, r.entries, 1)
	r.Release("other", now.Add(retention))
	_, ok := r.Open("leaving", 1).Announced()
	require.True(t, ok)
	r.Release("leaving", now)
	r.Release("other", now.Add(retention+1))
	require.Empty(t, r.entries)
}
