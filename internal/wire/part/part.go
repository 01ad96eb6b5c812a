// Package part holds the messages for one shard's part of a query.
package part

import (
	"encoding/json"
	"fmt"
)

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

// MismatchError tells that a reply belongs to another request.
type MismatchError struct{ Want, Got string }

// Error gives both identifiers.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("reply to %q arrived for %q", e.Got, e.Want)
}

// IncompleteError tells that a reply lacks rows.
type IncompleteError struct{ Want, Got int }

// Error gives both counts.
func (e *IncompleteError) Error() string {
	return fmt.Sprintf("reply has %d rows, declares %d", e.Got, e.Want)
}

// UnmarshalJSON decodes a reply. Where none is declared, Count is -1, so that Check refuses the reply:
// an empty message would otherwise pass for a whole part without rows.
func (r *Reply) UnmarshalJSON(text []byte) error {
	type plain Reply // without this method
	message := plain{Count: -1}
	if err := json.Unmarshal(text, &message); err != nil {
		return err
	}
	*r = Reply(message)
	return nil
}

// Check tells whether r is the whole reply to q. It fails with *MismatchError or *IncompleteError.
func (r Reply) Check(q Request) error {
	if r.RequestID != q.RequestID || r.Service != q.Service || r.Shard != q.Shard || r.Snapshot != q.Snapshot {
		return &MismatchError{
			Want: label(q.RequestID, q.Service, q.Shard, q.Snapshot),
			Got:  label(r.RequestID, r.Service, r.Shard, r.Snapshot),
		}
	}
	if r.Count != len(r.Rows) {
		return &IncompleteError{Want: r.Count, Got: len(r.Rows)}
	}
	return nil
}

func label(id, service, shard, snapshot string) string {
	return id + " " + service + "/" + shard + "@" + snapshot
}
