package frame

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func encode(t testing.TB, revision uint64, messages ...Message) []byte {
	var buffer bytes.Buffer
	require.NoError(t, NewWriter(&buffer).Write(revision, messages))
	return buffer.Bytes()
}

func TestRoundTrip(t *testing.T) {
	for _, c := range []struct {
		name     string
		messages []Message
	}{
		{name: "empty"},
		{name: "every kind", messages: []Message{
			{Kind: KindCall, ID: 1, Value: 240_000, Method: "relay", Body: []byte("request")},
			{Kind: KindReply, ID: 1 << 63, Body: []byte("reply")},
			{Kind: KindRefusal, ID: 3, Value: CodeLeaving, Body: []byte("reason")},
			{Kind: KindCancel, ID: 4},
			{Kind: KindCredit, Value: 4096},
			{Kind: KindPing},
			{Kind: KindPong},
			{Kind: KindLeaving},
		}},
		{name: "longest", messages: []Message{{Kind: KindCall, ID: 1, Method: strings.Repeat("m", MaxMethodBytes), Body: make([]byte, MaxBodyBytes)}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := encode(t, 7, c.messages...)
			r := NewReader(bytes.NewReader(append(text, text...)))
			for range 2 {
				f, err := r.Read()
				require.NoError(t, err)
				require.EqualValues(t, 7, f.Revision)
				require.Equal(t, append([]Message{}, c.messages...), append([]Message{}, f.Messages...))
			}
			_, err := r.Read()
			require.ErrorIs(t, err, io.EOF)
		})
	}
}

// TestContractSamples checks that the writer produces the sample frames printed in the protocol contract.
func TestContractSamples(t *testing.T) {
	text, err := os.ReadFile("../../../docs/contracts/peer.md")
	require.NoError(t, err)
	for _, messages := range [][]Message{
		{{Kind: KindCall, ID: 1, Value: 240_000, Method: "relay", Body: []byte("\xa1x")}, {Kind: KindPing}},
		{{Kind: KindCredit, Value: 4096}},
	} {
		require.Contains(t, string(text), fmt.Sprintf("    % x\n", encode(t, 42, messages...)))
	}
}

// TestBodiesOutliveTheNextRead checks that later reads don't overwrite the message bodies returned before.
func TestBodiesOutliveTheNextRead(t *testing.T) {
	var stream []byte
	for n := range 100 {
		stream = append(stream, encode(t, 1, Message{Kind: KindReply, ID: 1, Body: fmt.Append(nil, n)})...)
	}
	r := NewReader(bytes.NewReader(stream))
	var bodies [][]byte
	for range 100 {
		f, err := r.Read()
		require.NoError(t, err)
		bodies = append(bodies, f.Messages[0].Body)
	}
	for n, body := range bodies {
		require.Equal(t, fmt.Sprint(n), string(body))
	}
}

func TestWriterRefuses(t *testing.T) {
	for name, messages := range map[string][]Message{
		"body":     {{Kind: KindCall, Body: make([]byte, MaxBodyBytes+1)}},
		"method":   {{Kind: KindCall, Method: strings.Repeat("m", MaxMethodBytes+1)}},
		"kind":     {{}},
		"value":    {{Kind: KindCall, Value: -1}},
		"messages": make([]Message, MaxMessages+1),
		"frame":    {{Kind: KindCall, Body: make([]byte, MaxBodyBytes)}, {Kind: KindCall, Body: make([]byte, MaxBodyBytes)}},
	} {
		t.Run(name, func(t *testing.T) {
			var buffer bytes.Buffer
			var e *Error
			require.ErrorAs(t, NewWriter(&buffer).Write(1, messages), &e)
			require.Zero(t, buffer.Len())
		})
	}
}

// malformedStreams returns byte streams that are not valid frames.
func malformedStreams(t testing.TB) map[string][]byte {
	valid := encode(t, 7, Message{Kind: KindCall, ID: 1, Method: "relay", Body: []byte("request")})
	withByte := func(at int, b byte) []byte {
		changed := bytes.Clone(valid)
		changed[at] = b
		return changed
	}
	oversized := append(bytes.Clone(valid), make([]byte, MaxBytes)...)
	binary.BigEndian.PutUint32(oversized, MaxBytes+1)
	trailing := append(bytes.Clone(valid), 0)
	binary.BigEndian.PutUint32(trailing, uint32(len(trailing)-prefixSize))
	const pings = MaxMessages + 1
	many := append([]byte{0, 0, 0, 0, Version, 0x01, 0xdc, pings >> 8, pings & 0xff}, bytes.Repeat([]byte{KindPing, 0, 0, 0xa0, 0xc0}, pings)...)
	binary.BigEndian.PutUint32(many, uint32(len(many)-prefixSize))
	return map[string][]byte{
		"oversized":         oversized,
		"length of zero":    {0, 0, 0, 0, Version},
		"version":           withByte(4, Version+1),
		"truncated prefix":  valid[:3],
		"truncated body":    valid[:len(valid)-1],
		"unknown kind":      withByte(prefixSize+2, lastKind+1),
		"extra bytes":       trailing,
		"too many messages": many,
		"other protocol":    []byte("GET / HTTP/1.1\r\n\r\n"),
		"garbage":           {0, 0, 0, 4, Version, 0xc1, 0xc1, 0xc1, 0xc1},
	}
}

func TestReaderRefuses(t *testing.T) {
	for name, text := range malformedStreams(t) {
		t.Run(name, func(t *testing.T) {
			rest := bytes.NewReader(text)
			_, err := NewReader(rest).Read()
			var e *Error
			require.ErrorAs(t, err, &e)
			if name == "oversized" {
				require.Equal(t, len(text)-prefixSize, rest.Len(), "none of the body may be read")
			}
		})
	}
}

// FuzzReader checks that any input yields a typed error or a frame that survives another round trip.
func FuzzReader(f *testing.F) {
	for _, text := range malformedStreams(f) {
		f.Add(text)
	}
	f.Add(encode(f, 7, Message{Kind: KindCall, ID: 1, Method: "relay", Body: []byte("request")}, Message{Kind: KindPing}))
	f.Fuzz(func(t *testing.T, text []byte) {
		got, err := NewReader(bytes.NewReader(text)).Read()
		if err != nil {
			var e *Error
			require.True(t, errors.As(err, &e) || errors.Is(err, io.EOF), err)
			return
		}
		again, err := NewReader(bytes.NewReader(encode(t, got.Revision, got.Messages...))).Read()
		require.NoError(t, err)
		require.Equal(t, got.Revision, again.Revision)
		require.Equal(t, len(got.Messages), len(again.Messages))
		for n := range got.Messages {
			require.Equal(t, fmt.Sprint(got.Messages[n]), fmt.Sprint(again.Messages[n]))
		}
	})
}

// BenchmarkFrame encodes and decodes frames of calls. One operation is one call.
func BenchmarkFrame(b *testing.B) {
	body := bytes.Repeat([]byte("x"), 120)
	for _, size := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("batch=%d", size), func(b *testing.B) {
			messages := make([]Message, size)
			for n := range messages {
				messages[n] = Message{Kind: KindCall, ID: uint64(n + 1), Value: 240_000, Method: "relay", Body: body}
			}
			var buffer bytes.Buffer
			w, r := NewWriter(&buffer), NewReader(&buffer)
			b.ReportAllocs()
			for done := 0; done < b.N; done += size {
				buffer.Reset()
				if err := w.Write(7, messages); err != nil {
					b.Fatal(err)
				}
				if _, err := r.Read(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func ExampleWriter() {
	var stream bytes.Buffer
	w := NewWriter(&stream)
	_ = w.Write(42, []Message{
		{Kind: KindCall, ID: 1, Value: 240_000, Method: "relay", Body: []byte("first")},
		{Kind: KindCall, ID: 2, Value: 240_000, Method: "relay", Body: []byte("second")},
	})
	f, _ := NewReader(&stream).Read()
	fmt.Println("revision", f.Revision)
	for _, m := range f.Messages {
		fmt.Printf("call %d of %s: %s\n", m.ID, m.Method, m.Body)
	}
	// Output:
	// revision 42
	// call 1 of relay: first
	// call 2 of relay: second
}
