// Package part defines the messages with which an upstream is asked for one shard's part of a query and replies, and checks
// that the reply is complete and belongs to the request.
package part

import (
	"encoding/json"
	"fmt"
)

// Request requests one shard's part from an upstream. Exactly one of Query and Key is set.
type Request struct {
	RequestID string `json:"request-id" msgpack:"i"`
	Service   string `json:"service" msgpack:"s"`
	Shard     string `json:"shard" msgpack:"h"`
	Snapshot  string `json:"snapshot" msgpack:"n"`
	Query     string `json:"query,omitempty" msgpack:"q"`
	Key       string `json:"key,omitempty" msgpack:"k"`
}

// Reply is one shard's part. Count is the number of rows that the upstream declares, by which a truncated reply is
// detected.
type Reply struct {
	RequestID string   `json:"request-id" msgpack:"i"`
	Service   string   `json:"service" msgpack:"s"`
	Shard     string   `json:"shard" msgpack:"h"`
	Snapshot  string   `json:"snapshot" msgpack:"n"`
	Count     int      `json:"count" msgpack:"c"`
	Rows      []string `json:"rows" msgpack:"r"`
}

// MismatchError means that a reply belongs to another request.
type MismatchError struct{ Want, Got string }

func (e *MismatchError) Error() string {
	return fmt.Sprintf("reply to %q arrived for %q", e.Got, e.Want)
}

// IncompleteError means that the number of rows in a reply differs from the declared count.
type IncompleteError struct{ Want, Got int }

func (e *IncompleteError) Error() string {
	return fmt.Sprintf("reply has %d rows, declares %d", e.Got, e.Want)
}

// UnmarshalJSON decodes a reply. It sets Count to -1 if the message declares no count, so that Check rejects the reply;
// otherwise an empty message would be accepted as a complete part without rows.
func (r *Reply) UnmarshalJSON(text []byte) error {
	type plain Reply // has no UnmarshalJSON method
	message := plain{Count: -1}
	if err := json.Unmarshal(text, &message); err != nil {
		return err
	}
	*r = Reply(message)
	return nil
}

// Check verifies that r is the complete reply to q. It returns *MismatchError or *IncompleteError if it is not.
func (r Reply) Check(q Request) error {
	if r.RequestID != q.RequestID || r.Service != q.Service || r.Shard != q.Shard || r.Snapshot != q.Snapshot {
		return &MismatchError{
			Want: describe(q.RequestID, q.Service, q.Shard, q.Snapshot),
			Got:  describe(r.RequestID, r.Service, r.Shard, r.Snapshot),
		}
	}
	if r.Count != len(r.Rows) {
		return &IncompleteError{Want: r.Count, Got: len(r.Rows)}
	}
	return nil
}

func describe(id, service, shard, snapshot string) string {
	return id + " " + service + "/" + shard + "@" + snapshot
}
