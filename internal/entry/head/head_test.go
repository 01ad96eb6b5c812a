package head

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestScan(t *testing.T) {
	for _, c := range []struct {
		name, text  string
		size, lines int // size 0: the head has no end
	}{
		{name: "fields", text: "GET / HTTP/1.1\r\nA: b\r\n\r\nbody", size: 24, lines: 2},
		{name: "bare line feeds", text: "GET / HTTP/1.1\nA: b\n\nbody", size: 21, lines: 2},
		{name: "mixed", text: "GET / HTTP/1.1\nA: b\r\n\nbody", size: 22, lines: 2},
		{name: "empty lines first", text: "\r\n\nGET / HTTP/1.1\r\n\r\nbody", size: 21, lines: 1},
		{name: "carriage return in a line", text: "GET / HTTP/1.1\r\n\r\r\n\r\n", size: 21, lines: 2},
		{name: "no end", text: "GET / HTTP/1.1\r\nA: b\r\n", lines: 2},
		{name: "nothing", text: ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, step := range []int{1, 2, 3, len(c.text) + 1} {
				var s Scanner
				size := 0
				for at := 0; at < len(c.text) && size == 0; at += step {
					n, done := s.Scan([]byte(c.text[at:min(at+step, len(c.text))]))
					if done {
						size = at + n
					}
				}
				require.Equal(t, c.size, size)
				require.Equal(t, c.lines, s.Lines)
			}
		})
	}
}

// FuzzScan guards against a head whose fields net/http holds and the scanner does not count: wherever net/http accepts a request, the
// scanner has counted at least as many lines as the request has fields, also if the bytes arrive one at a time.
func FuzzScan(f *testing.F) {
	for _, text := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\nA: b\r\n\r\n", "POST / HTTP/1.1\nHost: a\n b\n\nbody", "GET / HTTP/1.0\r\n \r\n\r\n", "\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\t\r\nB: c\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var whole, single Scanner
		n, done := whole.Scan(text)
		require.Equal(t, n, whole.Bytes)
		for _, b := range text[:n] {
			_, _ = single.Scan([]byte{b})
		}
		require.Equal(t, whole.Lines, single.Lines)
		require.Equal(t, whole.Bytes, single.Bytes)
		r, err := http.ReadRequest(bufio.NewReader(io.MultiReader(bytes.NewReader(text[:n]), strings.NewReader(""))))
		if err != nil || !done {
			return
		}
		fields := 0
		for _, values := range r.Header {
			fields += len(values)
		}
		require.LessOrEqual(t, fields, whole.Lines)
	})
}
