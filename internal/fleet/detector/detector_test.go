package detector

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSuspicion records one call per second: "." is answered, "x" is not, and " " is a second without a call.
func TestSuspicion(t *testing.T) {
	cases := []struct {
		name, calls string
		want        bool // suspected at the end
	}{
		{"one failure", "..x", false},
		{"single failures", "x.x.x.x.x.", false},
		{"two failures", "..xx", true},
		{"one answer after", "xx.", true},
		{"two answers after", "xx..", false},
		{"one-way loss", "xxxxxxxx", true},
		{"flaps twice", "xx..xx..", true},
		{"flaps twice, then answers for long", "xx..xx..........", false},
		{"flaps for long", "xx..xx..xx..xx..xx..xx..............", true},
		{"flaps for long, then answers for longer", "xx..xx..xx..xx..xx..xx........................................", false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := New()
				for _, call := range tc.calls {
					time.Sleep(time.Second)
					switch call {
					case '.':
						d.RecordSuccess("p", 1, false)
					case 'x':
						d.RecordFailure("p")
					}
				}
				require.Equal(t, tc.want, len(d.Suspected()) > 0)
				require.Equal(t, tc.want, len(d.Avoided()) > 0)
			})
		})
	}
}

func TestLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New()
		d.RecordLeaving("a")
		d.RecordSuccess("b", 7, true)
		require.Equal(t, []string{"a", "b"}, d.Avoided())
		require.Empty(t, d.Suspected())
		d.RecordSuccess("a", 8, false) // its next incarnation
		require.Equal(t, []string{"b"}, d.Avoided())
		time.Sleep(leavingTimeout)
		require.Empty(t, d.Avoided())
		d.Retain(func(peer string) bool { return peer == "a" })
		require.Len(t, d.Peers(), 1)
		require.Equal(t, uint64(8), d.Peers()[0].Revision)
	})
}
