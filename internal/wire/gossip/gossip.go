// Package gossip holds the messages by which instances learn configuration and list from each other.
package gossip

import (
	"time"

	"crocuswing/internal/wire/manifest"
	"crocuswing/internal/wire/memberlist"
)

// Methods of the calls.
const (
	// MethodSync compares two views and brings the newer parts.
	MethodSync = "sync"
	// MethodPage reads one page of a whole view.
	MethodPage = "page"
	// MethodValue reads one value by its content hash.
	MethodValue = "value"
	// MethodLeave tells that the sender leaves.
	MethodLeave = "leave"
)

// SyncRequest tells what the sender has.
type SyncRequest struct {
	From        string `msgpack:"f"`
	Revision    uint64 `msgpack:"r"`
	Digest      string `msgpack:"d"`
	ListVersion uint64 `msgpack:"v"`
	ListDigest  string `msgpack:"l"`
}

// SyncReply tells what the answering instance has, and brings what the sender lacks if the answering
// instance still knows what changed; else the sender has to read it whole.
type SyncReply struct {
	Revision    uint64             `msgpack:"r"`
	Digest      string             `msgpack:"d"`
	ListVersion uint64             `msgpack:"v"`
	ListDigest  string             `msgpack:"l"`
	Manifest    *manifest.Manifest `msgpack:"m,omitempty"`
	MemberList  *memberlist.List   `msgpack:"g,omitempty"`
	Leaving     bool               `msgpack:"x,omitempty"`
	// Ages at the time of the answer, in milliseconds; negative if not known.
	ConfigAgeMS int64 `msgpack:"c"`
	ListAgeMS   int64 `msgpack:"i"`
	OutageAgeMS int64 `msgpack:"o"`
}

// PageRequest asks for the part of a whole view that begins at item Offset. ViewID 0 begins with a view
// that is newer than what the sender has, or the newest.
type PageRequest struct {
	ViewID      uint64 `msgpack:"s"`
	Offset      int    `msgpack:"n"`
	Revision    uint64 `msgpack:"r"`
	ListVersion uint64 `msgpack:"v"`
}

// Page is a part of one whole view. NextOffset is 0 on the last page.
type Page struct {
	ViewID     uint64            `msgpack:"s"`
	NextOffset int               `msgpack:"n"`
	Manifest   manifest.Manifest `msgpack:"m"`
	MemberList memberlist.List   `msgpack:"l"`
}

// ValueRequest asks for the value of a name if its content hash is Hash.
type ValueRequest struct {
	Name string `msgpack:"n"`
	Hash string `msgpack:"h"`
}

// Value is the content of one value.
type Value struct {
	Content []byte `msgpack:"c"`
}

// Leave tells that an instance leaves.
type Leave struct {
	From string `msgpack:"f"`
}

// AgeMS gives an age as it travels: in milliseconds, rounded up, or -1 if it is a day or more.
func AgeMS(age time.Duration) int64 {
	if age >= 24*time.Hour {
		return -1
	}
	return (max(age, 0) + time.Millisecond - 1).Milliseconds()
}
