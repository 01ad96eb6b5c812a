package connection

import (
	"bufio"
	"fmt"
	"net/http"
)

// StatusError is returned for a response whose status line does not begin with a version and a status of three digits from 100, or that
// switches protocols, which is never asked for. Package net/http takes some of them for responses with a status below 100.
type StatusError struct {
	// Line is the beginning of the status line.
	Line string
}

// Error returns a message with the beginning of the line.
func (e *StatusError) Error() string {
	return fmt.Sprintf("response begins with %q, want a status of three digits", e.Line)
}

// statusLine is the pattern of the beginning of a status line: a 0 stands for any digit, a 1 for any digit but 0. The last byte is the
// end of the status.
const statusLine = "HTTP/0.0 100 "

// checkStatus reads ahead to the end of the status. It reads no further than to the first byte that does not belong there.
func checkStatus(r *bufio.Reader) error {
	for i := range len(statusLine) {
		line, err := r.Peek(i + 1)
		if err != nil {
			return err
		}
		if !matchesStatusLine(i, line[i]) {
			return &StatusError{Line: string(line)}
		}
	}
	return nil
}

func matchesStatusLine(i int, b byte) bool {
	switch want := statusLine[i]; {
	case i == len(statusLine)-1:
		return b == ' ' || b == '\r' || b == '\n'
	case want == '0':
		return '0' <= b && b <= '9'
	case want == '1':
		return '1' <= b && b <= '9'
	default:
		return b == want
	}
}

// checkInterim returns an error for an interim response that no request asks for.
func checkInterim(resp *http.Response) error {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return &StatusError{Line: resp.Proto + " " + resp.Status}
	}
	return nil
}
