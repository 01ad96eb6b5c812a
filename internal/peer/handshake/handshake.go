// Package handshake negotiates the protocol version when a connection between instances is opened, before any frame
// is sent.
//
// The dialing side sends 8 bytes: the magic, the lowest and the highest version that it supports, and two zero bytes.
// The accepting side replies with 8 bytes: the magic, its lowest and highest version, a status and the chosen version.
package handshake

import (
	"fmt"
	"io"
)

// Protocol versions that this build supports.
const (
	MinVersion = 2
	MaxVersion = 2
)

const (
	magic     = "CWNG"
	helloSize = 8
)

// Status is the result of a handshake as sent by the accepting side.
type Status uint8

// Handshake results.
const (
	StatusAccepted           Status = 0
	StatusNoCommonVersion    Status = 1
	StatusTooManyConnections Status = 2
	statusUnknownProtocol    Status = 254 // local only: the other end does not speak this protocol
	lastStatus                      = StatusTooManyConnections
)

// Error reports why a handshake failed. No call was run.
type Error struct {
	Status                 Status
	MinVersion, MaxVersion uint8 // versions that the other end supports
}

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

// Dial performs the handshake on the dialing side and returns the negotiated version. It returns *Error if the other
// end refuses the connection or is not an instance, or the error of the connection.
func Dial(conn io.ReadWriter) (uint8, error) {
	if _, err := conn.Write([]byte{magic[0], magic[1], magic[2], magic[3], MinVersion, MaxVersion, 0, 0}); err != nil {
		return 0, err
	}
	got, err := readHello(conn)
	if err != nil {
		return 0, err
	}
	status, version := Status(got[6]), got[7]
	if status > lastStatus || (status == StatusAccepted && (version < MinVersion || version > MaxVersion)) {
		return 0, &Error{Status: statusUnknownProtocol}
	}
	if status != StatusAccepted {
		return 0, &Error{Status: status, MinVersion: got[4], MaxVersion: got[5]}
	}
	return version, nil
}

// Accept performs the handshake on the accepting side and returns the negotiated version, which is the highest one that
// both ends support. A status other than StatusAccepted refuses the connection. It returns *Error if the connection is
// refused or the other end is not an instance, or the error of the connection.
func Accept(conn io.ReadWriter, status Status) (uint8, error) {
	got, err := readHello(conn)
	if err != nil {
		return 0, err
	}
	version := min(got[5], MaxVersion)
	if status == StatusAccepted && (version < MinVersion || version < got[4]) {
		status = StatusNoCommonVersion
	}
	reply := []byte{magic[0], magic[1], magic[2], magic[3], MinVersion, MaxVersion, byte(status), version}
	if _, err := conn.Write(reply); err != nil {
		return 0, err
	}
	if status != StatusAccepted {
		return 0, &Error{Status: status, MinVersion: got[4], MaxVersion: got[5]}
	}
	return version, nil
}

func readHello(conn io.Reader) ([helloSize]byte, error) {
	var got [helloSize]byte
	if _, err := io.ReadFull(conn, got[:]); err != nil {
		return got, err
	}
	if string(got[:4]) != magic {
		return got, &Error{Status: statusUnknownProtocol}
	}
	return got, nil
}
