// Package part holds the messages for one shard's part of a query.
package part

import "fmt"

// Request asks an upstream for one shard's part. Exactly one of Query and Key is set.
type Request struct {
	RequestID string `json:"request-id" msgpack:"i"`
	Service   string `json:"service" msgpack:"s"`
	Shard     string `json:"shard" msgpack:"h"`
	Snapshot  string `json:"snapshot" msgpack:"n"`
	Query     string `json:"query,omitempty" msgpack:"q"`
	Key       string `json:"key,omitempty" msgpack:"k"`
}

// Reply is one shard's part. Count is the number of rows that the upstream sent.
type Reply struct {
	RequestID string   `json:"request-id" msgpack:"i"`
	Service   string   `json:"service" msgpack:"s"`
	Shard     string   `json:"shard" msgpack:"h"`
	Snapshot  string   `json:"snapshot" msgpack:"n"`
	Count     int      `json:"count" msgpack:"c"`
	Rows      []string `json:"rows" msgpack:"r"`
}

// CrossedError tells that a reply belongs to another request.
type CrossedError struct{ Want, Got string }

// Error gives both identifiers.
func (e *CrossedError) Error() string {
	return fmt.Sprintf("reply to %q arrived for %q", e.Got, e.Want)
}

// IncompleteError tells that a reply lacks rows.
type IncompleteError struct{ Want, Got int }

// Error gives both counts.
func (e *IncompleteError) Error() string {
	return fmt.Sprintf("reply has %d rows, declares %d", e.Got, e.Want)
}

// Check tells whether r is the whole reply to q. It fails with *CrossedError or *IncompleteError.
func (r Reply) Check(q Request) error {
	got := r.RequestID + " " + r.Service + "/" + r.Shard + "@" + r.Snapshot
	want := q.RequestID + " " + q.Service + "/" + q.Shard + "@" + q.Snapshot
	if got != want {
		return &CrossedError{Want: want, Got: got}
	}
	if r.Count != len(r.Rows) {
		return &IncompleteError{Want: r.Count, Got: len(r.Rows)}
	}
	return nil
}
