// Package merge selects the greatest records, in byte order, from the parts that the shards of a request return.
//
// The runner builds the body of a merged answer with it once the parts have arrived.
package merge

import (
	"bytes"
	"container/heap"
)

// RecordBytes is the size of a record. Trailing bytes of a part that do not fill a record are ignored.
const RecordBytes = 16

// Merger keeps the greatest records, in byte order, of the parts that were added, up to a limit.
type Merger struct {
	limit   int
	records records // a min-heap
}

// New returns a Merger that keeps the limit greatest records.
func New(limit int) *Merger { return &Merger{limit: limit} }

// Add adds the records of one part. It retains the part but does not modify it.
func (m *Merger) Add(part []byte) {
	for ; len(part) >= RecordBytes; part = part[RecordBytes:] {
		record := part[:RecordBytes:RecordBytes]
		switch {
		case len(m.records) < m.limit:
			heap.Push(&m.records, record)
		case m.limit > 0 && bytes.Compare(record, m.records[0]) > 0:
			m.records[0] = record
			heap.Fix(&m.records, 0)
		}
	}
}

// Bytes returns the records in descending order and empties the merger. Duplicate records are kept.
func (m *Merger) Bytes() []byte {
	out := make([]byte, len(m.records)*RecordBytes)
	for end := len(out); end > 0; end -= RecordBytes {
		copy(out[end-RecordBytes:], heap.Pop(&m.records).([]byte))
	}
	return out
}

// records is a min-heap. It implements heap.Interface.
type records [][]byte

func (r records) Len() int           { return len(r) }
func (r records) Less(i, j int) bool { return bytes.Compare(r[i], r[j]) < 0 }
func (r records) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }

// Push appends a record.
func (r *records) Push(x any) { *r = append(*r, x.([]byte)) }

// Pop removes and returns the last record.
func (r *records) Pop() any {
	last := len(*r) - 1
	x := (*r)[last]
	*r = (*r)[:last]
	return x
}
