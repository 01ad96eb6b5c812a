package ticket_test

import (
	"fmt"
	"strings"
	"testing"

	"crocuswing/internal/order/ticket"

	"github.com/stretchr/testify/require"
)

var (
	key         = []byte("0123456789abcdef")
	validTicket = ticket.Ticket{Owner: "south-1", Incarnation: 7, Number: 3, ExpiryMS: 120_000, Caller: "tablet", Service: "order-entry"}
)

func mint(tb testing.TB, t ticket.Ticket, key []byte) string {
	text, err := ticket.Mint(t, key)
	require.NoError(tb, err)
	return text
}

func ExampleVerify() {
	text, _ := ticket.Mint(validTicket, key)
	t, err := ticket.Verify(text, key, "tablet")
	fmt.Println(t.Reference(), t.Expiry(), err)
	_, err = ticket.Verify(text, key, "another caller")
	fmt.Println(err)
	// Output:
	// south-1/7/3 2m0s <nil>
	// ticket: belongs to another caller
}

func TestVerifyRefuses(t *testing.T) {
	text := mint(t, validTicket, key)
	for _, c := range []struct{ name, text, caller string }{
		{"empty", "", "tablet"},
		{"not base64", "?" + text[1:], "tablet"},
		{"only a check value", text[:22], "tablet"},
		{"shortened", text[:len(text)-4], "tablet"},
		{"lengthened", text + "AAAA", "tablet"},
		{"line break", text[:5] + "\n" + text[5:], "tablet"},
		{"too long", strings.Repeat("A", ticket.MaxTextBytes+1), "tablet"},
		{"other key", mint(t, validTicket, []byte("fedcba9876543210")), "tablet"},
		{"other caller", text, "other"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := ticket.Verify(c.text, key, c.caller)
			var refused *ticket.Error
			require.ErrorAs(t, err, &refused)
		})
	}
}

// TestVerifyLastDigit replaces the last digit, which may hold padding bits. Only the original may be accepted: a ticket
// has exactly one text.
func TestVerifyLastDigit(t *testing.T) {
	const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"
	for _, service := range []string{"order", "orders", "ordered"} {
		changed := validTicket
		changed.Service = service
		text := mint(t, changed, key)
		passed := 0
		for _, digit := range digits {
			if _, err := ticket.Verify(text[:len(text)-1]+string(digit), key, "tablet"); err == nil {
				passed++
			}
		}
		require.Equal(t, 1, passed, "texts that are accepted for one ticket")
	}
}

func TestMintRefusesLongNames(t *testing.T) {
	long := validTicket
	long.Service = strings.Repeat("s", ticket.MaxTextBytes)
	_, err := ticket.Mint(long, key)
	var refused *ticket.Error
	require.ErrorAs(t, err, &refused)
}

// FuzzVerify checks that no text other than the minted one is accepted.
func FuzzVerify(f *testing.F) {
	text := mint(f, validTicket, key)
	f.Add(text)
	f.Add(text + "=")
	f.Add("\r" + text)
	for i := range text {
		f.Add(text[:i] + "A" + text[i+1:])
	}
	f.Fuzz(func(t *testing.T, other string) {
		got, err := ticket.Verify(other, key, "tablet")
		if other == text {
			require.NoError(t, err)
			require.Equal(t, validTicket, got)
			return
		}
		require.Error(t, err)
	})
}

func BenchmarkMint(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		_, _ = ticket.Mint(validTicket, key)
	}
}

func BenchmarkVerify(b *testing.B) {
	text := mint(b, validTicket, key)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = ticket.Verify(text, key, "tablet")
	}
}
