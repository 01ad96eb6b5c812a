// Package handshake agrees on the version of the frames when a connection between instances opens.
//
// The dialer sends 8 bytes: the magic, the lowest and the highest version that it speaks, and two
// zero bytes. The accepter answers with 8 bytes: the magic, its lowest and highest version, a
// status and the version chosen.
package handshake

import (
	"fmt"
	"io"
)

// Versions that this build speaks.
const (
	MinVersion = 2
	MaxVersion = 2
)

const (
	magic = "CWNG"
	size  = 8
)

// Status is the accepter's answer.
type Status uint8

// Statuses.
const (
	StatusAccepted           Status = 0
	StatusNoCommonVersion    Status = 1 // the two have no version in common
	StatusTooManyConnections Status = 2 // the accepter has too many connections
	notOurs                  Status = 254
	lastStatus                      = StatusTooManyConnections
)

// Error tells why no connection was agreed on. Nothing was run.
type Error struct {
	Status                 Status
	MinVersion, MaxVersion uint8 // versions that the other end speaks
}

// Error gives the reason.
func (e *Error) Error() string {
	switch e.Status {
	case StatusNoCommonVersion:
		return fmt.Sprintf("peer speaks versions %d to %d, this instance %d to %d", e.MinVersion, e.MaxVersion, MinVersion, MaxVersion)
	case StatusTooManyConnections:
		return "peer has too many connections"
	default:
		return "other end is not an instance"
	}
}

// Dial runs the dialer's side and gives the version agreed on. It fails with *Error or the
// connection's error.
func Dial(conn io.ReadWriter) (uint8, error) {
	if _, err := conn.Write([]byte{magic[0], magic[1], magic[2], magic[3], MinVersion, MaxVersion, 0, 0}); err != nil {
		return 0, err
	}
	got, err := read(conn)
	if err != nil {
		return 0, err
	}
	status, version := Status(got[6]), got[7]
	if status > lastStatus || (status == StatusAccepted && (version < MinVersion || version > MaxVersion)) {
		return 0, &Error{Status: notOurs}
	}
	if status != StatusAccepted {
		return 0, &Error{Status: status, MinVersion: got[4], MaxVersion: got[5]}
	}
	return version, nil
}

// Accept runs the accepter's side and gives the version agreed on, the highest common one. A status
// other than StatusAccepted refuses the connection. It fails with *Error or the connection's error.
func Accept(conn io.ReadWriter, status Status) (uint8, error) {
	got, err := read(conn)
	if err != nil {
		return 0, err
	}
	version := min(got[5], MaxVersion)
	if status == StatusAccepted && (version < MinVersion || version < got[4]) {
		status = StatusNoCommonVersion
	}
	answer := []byte{magic[0], magic[1], magic[2], magic[3], MinVersion, MaxVersion, byte(status), version}
	if _, err := conn.Write(answer); err != nil {
		return 0, err
	}
	if status != StatusAccepted {
		return 0, &Error{Status: status, MinVersion: got[4], MaxVersion: got[5]}
	}
	return version, nil
}

func read(conn io.Reader) ([size]byte, error) {
	var got [size]byte
	if _, err := io.ReadFull(conn, got[:]); err != nil {
		return got, err
	}
	if string(got[:4]) != magic {
		return got, &Error{Status: notOurs}
	}
	return got, nil
}
