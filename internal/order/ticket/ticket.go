// Package ticket mints and verifies the tickets under which orders run at most once.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

const macBytes = 16

// Ticket names the incarnation of the instance that owns it and the only use it permits.
type Ticket struct {
	Owner       string `msgpack:"o"`
	Incarnation uint64 `msgpack:"i"`
	Number      uint64 `msgpack:"n"`
	ExpiresMS   int64  `msgpack:"e"` // Unix time in milliseconds
	Caller      string `msgpack:"c"`
	Service     string `msgpack:"s"`
}

// Error tells why a ticket is refused.
type Error struct{ Reason string }

// Error gives the reason.
func (e *Error) Error() string { return "ticket: " + e.Reason }

// IsExpired tells whether the ticket may no longer start an order.
func (t Ticket) IsExpired(now time.Time) bool { return now.UnixMilli() >= t.ExpiresMS }

// ID identifies the ticket among all tickets of its owner's incarnation.
func (t Ticket) ID() uint64 { return t.Number }

// Mint gives the text of t with a check value under key.
func Mint(t Ticket, key []byte) (string, error) {
	body, err := msgpack.Marshal(t)
	if err != nil {
		return "", fmt.Errorf("encode ticket: %w", err)
	}
	return base64.RawURLEncoding.EncodeToString(append(sum(body, key), body...)), nil
}

// Verify gives the ticket in text if its check value is right and it belongs to the caller.
// It fails with *Error.
func Verify(text string, key []byte, caller string) (Ticket, error) {
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(raw) <= macBytes {
		return Ticket{}, &Error{Reason: "is malformed"}
	}
	if !hmac.Equal(raw[:macBytes], sum(raw[macBytes:], key)) {
		return Ticket{}, &Error{Reason: "has a wrong check value"}
	}
	var t Ticket
	if err := msgpack.Unmarshal(raw[macBytes:], &t); err != nil {
		return Ticket{}, errors.Join(&Error{Reason: "is malformed"}, err)
	}
	if t.Caller != caller {
		return Ticket{}, &Error{Reason: "belongs to another caller"}
	}
	return t, nil
}

func sum(body, key []byte) []byte {
	mac := hmac.New(sha256.New, key)
	_, _ = mac.Write(body)
	return mac.Sum(nil)[:macBytes]
}
