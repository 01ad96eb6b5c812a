// Package ticket mints and verifies the tickets under which orders run at most once.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	macBytes = 16
	// MaxTextBytes is the longest text of a ticket.
	MaxTextBytes = 512
	// label separates the check values of tickets from other uses of the key.
	label = "crocuswing-ticket-1\x00"
)

// Ticket names the incarnation of the instance that owns it and the only use it permits.
type Ticket struct {
	Owner       string `msgpack:"o"`
	Incarnation uint64 `msgpack:"i"`
	// Number counts the tickets of the incarnation from 1.
	Number uint64 `msgpack:"n"`
	// ExpiryMS is the end in milliseconds of the owner's monotonic clock since its incarnation began.
	// Only the owner can judge it.
	ExpiryMS int64  `msgpack:"e"`
	Caller   string `msgpack:"c"`
	Service  string `msgpack:"s"`
}

// Error tells why a ticket is refused. It does not tell whether an order ran under the ticket:
// an instance with another key finds the check value of a good ticket wrong.
type Error struct{ Reason string }

// Error gives the reason.
func (e *Error) Error() string { return "ticket: " + e.Reason }

// Expiry is the end of the ticket on the owner's clock.
func (t Ticket) Expiry() time.Duration { return time.Duration(t.ExpiryMS) * time.Millisecond }

// Reference identifies the ticket's order towards upstreams and in the books of both sides.
func (t Ticket) Reference() string {
	return fmt.Sprintf("%s/%x/%d", t.Owner, t.Incarnation, t.Number)
}

// Mint gives the text of t with a check value under key. It fails with *Error if the text would be too long.
func Mint(t Ticket, key []byte) (string, error) {
	body, err := msgpack.Marshal(&t)
	if err != nil {
		return "", fmt.Errorf("encode ticket: %w", err)
	}
	text := base64.RawURLEncoding.EncodeToString(append(sum(body, key), body...))
	if len(text) > MaxTextBytes {
		return "", &Error{Reason: "has too long names"}
	}
	return text, nil
}

// Verify gives the ticket in text if its check value is right and it belongs to the caller.
// It fails with *Error.
func Verify(text string, key []byte, caller string) (Ticket, error) {
	// The decoder skips line breaks, by which a second text of the same ticket could be made.
	if len(text) > MaxTextBytes || strings.ContainsAny(text, "\r\n") {
		return Ticket{}, &Error{Reason: "is malformed"}
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(raw) <= macBytes {
		return Ticket{}, &Error{Reason: "is malformed"}
	}
	if !hmac.Equal(raw[:macBytes], sum(raw[macBytes:], key)) {
		return Ticket{}, &Error{Reason: "has a wrong check value"}
	}
	var t Ticket
	if err := msgpack.Unmarshal(raw[macBytes:], &t); err != nil {
		return Ticket{}, &Error{Reason: "is malformed: " + err.Error()}
	}
	if t.Caller != caller {
		return Ticket{}, &Error{Reason: "belongs to another caller"}
	}
	return t, nil
}

func sum(body, key []byte) []byte {
	mac := hmac.New(sha256.New, key)
	_, _ = mac.Write([]byte(label))
	_, _ = mac.Write(body)
	return mac.Sum(nil)[:macBytes]
}
