// Package head finds the end of the head of an HTTP/1 request in the bytes of a connection and counts its bytes and lines, so that a head
// can be bounded before net/http holds its fields in a map. A field of three bytes takes about 100 bytes there.
package head

import "bytes"

// Scanner scans one head. The zero value is at its start.
type Scanner struct {
	// Bytes and Lines are the size of the head so far. Lines includes the request line.
	Bytes, Lines int

	length   int  // of the present line, without its end
	isCROnly bool // the present line consists of one carriage return
}

// Scan continues with the next bytes of the connection. It returns how many of them belong to the head, and whether its last one is
// among them. Empty lines before the request line do not end a head.
func (s *Scanner) Scan(p []byte) (n int, done bool) {
	for n < len(p) {
		line := p[n:]
		i := bytes.IndexByte(line, '\n')
		if i < 0 {
			s.extend(line)
			s.Bytes += len(line)
			return len(p), false
		}
		s.extend(line[:i])
		s.Bytes += i + 1
		n += i + 1
		isEmpty := s.length == 0 || s.isCROnly
		s.length, s.isCROnly = 0, false
		if !isEmpty {
			s.Lines++
		} else if s.Lines > 0 {
			return n, true
		}
	}
	return n, false
}

// extend adds bytes to the present line.
func (s *Scanner) extend(p []byte) {
	if len(p) == 0 {
		return
	}
	s.isCROnly = s.length == 0 && len(p) == 1 && p[0] == '\r'
	s.length += len(p)
}
