package merge

import (
	"bytes"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMatchesSort compares the merger with a sort of all records. Records of few distinct byte values make duplicates likely.
func TestMatchesSort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 8).Draw(t, "limit")
		parts := rapid.SliceOfN(rapid.SliceOfN(rapid.ByteRange(0, 2), 0, 80), 0, 8).Draw(t, "parts")
		m := New(limit)
		var all [][]byte
		for _, p := range parts {
			m.Add(p)
			for ; len(p) >= RecordBytes; p = p[RecordBytes:] {
				all = append(all, p[:RecordBytes])
			}
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		want := bytes.Join(all[:min(limit, len(all))], nil)
		require.True(t, bytes.Equal(want, m.Bytes()))
	})
}

func Example() {
	m := New(2)
	m.Add([]byte("record-number-01record-number-03"))
	m.Add([]byte("record-number-02a remainder"))
	fmt.Printf("%s\n", m.Bytes())
	// Output: record-number-03record-number-02
}

func BenchmarkMerge(b *testing.B) {
	part := bytes.Repeat([]byte("0123456789abcdef"), 12)
	b.ReportAllocs()
	for b.Loop() {
		m := New(10)
		for range 90 {
			m.Add(part)
		}
		m.Bytes()
	}
}
