package retryafter_test

import (
	"net/http"
	"testing"
	"time"

	"crocuswing/internal/upstream/retryafter"

	"github.com/stretchr/testify/require"
)

func TestParse(t *testing.T) {
	now := time.Date(2026, time.December, 5, 12, 0, 0, 0, time.UTC)
	const later = "Sat, 05 Dec 2026 12:00:30 GMT"
	for _, c := range []struct {
		name   string
		values []string
		date   string
		want   time.Duration
	}{
		{name: "absent"},
		{name: "whole", values: []string{"3"}, want: 3 * time.Second},
		{name: "fraction", values: []string{" 0.25 "}, want: 250 * time.Millisecond},
		{name: "zero", values: []string{"0"}},
		{name: "negative", values: []string{"-3"}},
		{name: "huge", values: []string{"1e300"}, want: retryafter.Max},
		{name: "out of range", values: []string{"1e999"}, want: retryafter.Max},
		{name: "negative out of range", values: []string{"-1e999"}},
		{name: "infinite", values: []string{"inf"}, want: retryafter.Max},
		{name: "not a number", values: []string{"nan"}},
		{name: "malformed", values: []string{"soon"}},
		{name: "empty", values: []string{""}},
		{name: "date", values: []string{later}, want: 30 * time.Second},
		{name: "date after the response's own", values: []string{later}, date: "Sat, 05 Dec 2026 12:00:20 GMT", want: 10 * time.Second},
		{name: "date with an invalid date of the response", values: []string{later}, date: "yesterday", want: 30 * time.Second},
		{name: "date in the past", values: []string{"Sat, 05 Dec 2026 11:00:00 GMT"}},
		{name: "date far ahead", values: []string{"Mon, 05 Dec 2039 11:00:00 GMT"}, want: retryafter.Max},
		{name: "several", values: []string{"1", "4", "x"}, want: 4 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := http.Header{"Retry-After": c.values}
			if c.date != "" {
				h.Set("Date", c.date)
			}
			require.Equal(t, c.want, retryafter.Parse(h, now))
		})
	}
}

func FuzzParse(f *testing.F) {
	for _, value := range []string{"1", "-1", "1e400", "0x1p-2", "Sat, 05 Dec 2026 12:00:30 GMT", "nan", "9223372036854775808"} {
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value string) {
		got := retryafter.Parse(http.Header{"Retry-After": {value}}, time.Now())
		require.True(t, got >= 0 && got <= retryafter.Max, "%q gives %v", value, got)
	})
}
