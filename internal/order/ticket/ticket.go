// Package ticket mints and verifies the tickets under which orders run at most once. The coordinator mints them and verifies the
// ticket of each placement. To the caller a ticket is an opaque text; a message authentication code protects it against forgery.
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
	macBytes = 16 // length of the message authentication code (MAC)
	// MaxTextBytes is the maximum length of a ticket's text.
	MaxTextBytes = 512
	// macLabel separates the MACs of tickets from other uses of the key.
	macLabel = "crocuswing-ticket-1\x00"
)

// Ticket names the incarnation of the instance that owns it, and the caller and service for which it is valid.
type Ticket struct {
	Owner       string `msgpack:"o"`
	Incarnation uint64 `msgpack:"i"`
	// Number is the sequence number of the ticket within the incarnation, from 1.
	Number uint64 `msgpack:"n"`
	// ExpiryMS is the time of expiry in milliseconds on the owner's monotonic clock, since its incarnation began.
	// Only the owner can evaluate it.
	ExpiryMS int64  `msgpack:"e"`
	Caller   string `msgpack:"c"`
	Service  string `msgpack:"s"`
}

// Error reports why a ticket is refused. It implies nothing about whether an order ran under the ticket: an instance
// with another key rejects the MAC of a valid ticket.
type Error struct{ Reason string }

func (e *Error) Error() string { return "ticket: " + e.Reason }

// Expiry returns the time of expiry on the owner's monotonic clock.
func (t Ticket) Expiry() time.Duration { return time.Duration(t.ExpiryMS) * time.Millisecond }

// Reference returns the identifier of the ticket's order for upstreams and for the records of both sides.
func (t Ticket) Reference() string {
	return fmt.Sprintf("%s/%x/%d", t.Owner, t.Incarnation, t.Number)
}

// Mint returns the text of t, authenticated with key. It fails with *Error if the text would be too long.
func Mint(t Ticket, key []byte) (string, error) {
	body, err := msgpack.Marshal(&t)
	if err != nil {
		return "", fmt.Errorf("encode ticket: %w", err)
	}
	text := base64.RawURLEncoding.EncodeToString(append(computeMAC(body, key), body...))
	if len(text) > MaxTextBytes {
		return "", &Error{Reason: "has too long names"}
	}
	return text, nil
}

// Verify returns the ticket in text if its MAC is valid and it belongs to the caller. Otherwise it fails with *Error.
func Verify(text string, key []byte, caller string) (Ticket, error) {
	// The decoder skips line breaks, which would allow several texts for the same ticket.
	if len(text) > MaxTextBytes || strings.ContainsAny(text, "\r\n") {
		return Ticket{}, &Error{Reason: "is malformed"}
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(raw) <= macBytes {
		return Ticket{}, &Error{Reason: "is malformed"}
	}
	if !hmac.Equal(raw[:macBytes], computeMAC(raw[macBytes:], key)) {
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

func computeMAC(body, key []byte) []byte {
	mac := hmac.New(sha256.New, key)
	_, _ = mac.Write([]byte(macLabel))
	_, _ = mac.Write(body)
	return mac.Sum(nil)[:macBytes]
}
