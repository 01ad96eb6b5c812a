// Package retryafter reads how long an upstream that turned a request away wants to be left alone. The signals of the platform's and
// of the product's own contract use it, so that a value means the same in both.
package retryafter

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Max is the longest pause that a value can ask for. It limits the effect of a value that is absurd, or of a clock that is far off.
const Max = time.Hour

const headerName = "Retry-After"

// Parse returns the pause that the Retry-After headers of a response ask for (RFC 9110, section 10.2.3), or 0 if they ask for none.
//
// A number is in seconds and may have a fraction. A date is compared with the Date header of the same response, or with now if that is
// missing or invalid. Values that are negative, in the past, or malformed ask for nothing, and a value above Max asks for Max. If there
// are several, the longest counts.
func Parse(h http.Header, now time.Time) time.Duration {
	var longest time.Duration
	for _, value := range h[headerName] {
		longest = max(longest, parse(strings.TrimSpace(value), h, now))
	}
	return longest
}

func parse(value string, h http.Header, now time.Time) time.Duration {
	seconds, err := strconv.ParseFloat(value, 64)
	if err == nil || math.IsInf(seconds, 0) { // a number out of range is returned as infinite
		switch {
		case !(seconds > 0): // false for NaN too
			return 0
		case seconds >= Max.Seconds():
			return Max
		}
		return time.Duration(seconds * float64(time.Second))
	}
	until, err := http.ParseTime(value)
	if err != nil {
		return 0
	}
	if sent, err := http.ParseTime(h.Get("Date")); err == nil {
		now = sent
	}
	return min(max(0, until.Sub(now)), Max)
}
