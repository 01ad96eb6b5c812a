// Package gossip defines the messages with which instances synchronize the configuration and the member list with each
// other.
package gossip

import (
	"time"

	"crocuswing/internal/wire/manifest"
	"crocuswing/internal/wire/memberlist"
)

// Method names of the calls.
const (
	// MethodSync compares the views of two instances and returns what the caller lacks.
	MethodSync = "sync"
	// MethodPage returns one page of a complete view.
	MethodPage = "page"
	// MethodValue returns one configuration value by its content hash.
	MethodValue = "value"
	// MethodLeave announces that the sender is shutting down.
	MethodLeave = "leave"
)

// SyncRequest describes the view of the sender: the revision of its configuration and the version of its member list.
type SyncRequest struct {
	From        string `msgpack:"f"`
	Revision    uint64 `msgpack:"r"`
	Digest      string `msgpack:"d"`
	ListVersion uint64 `msgpack:"v"`
	ListDigest  string `msgpack:"l"`
}

// SyncReply describes the view of the replying instance. Manifest and MemberList hold the changes that the requester
// lacks; if the replying instance no longer has these changes, the requester has to read the complete view.
type SyncReply struct {
	Revision    uint64             `msgpack:"r"`
	Digest      string             `msgpack:"d"`
	ListVersion uint64             `msgpack:"v"`
	ListDigest  string             `msgpack:"l"`
	Manifest    *manifest.Manifest `msgpack:"m,omitempty"`
	MemberList  *memberlist.List   `msgpack:"g,omitempty"`
	Leaving     bool               `msgpack:"x,omitempty"`
	// ConfigAgeMS and ListAgeMS are the times since the platform last had no newer configuration and no newer member list,
	// and OutageAgeMS is the time since the last failed read of the platform that the replying instance knows. They are in
	// milliseconds at the time of the reply; negative if unknown.
	ConfigAgeMS int64 `msgpack:"c"`
	ListAgeMS   int64 `msgpack:"i"`
	OutageAgeMS int64 `msgpack:"o"`
}

// PageRequest requests the page of a complete view that starts at item Offset. ViewID is 0 in the request for the first page,
// for which the replying instance chooses a view that is newer than the sender's, or its current one. Later requests repeat
// the ViewID of the first page.
type PageRequest struct {
	ViewID      uint64 `msgpack:"s"`
	Offset      int    `msgpack:"n"`
	Revision    uint64 `msgpack:"r"`
	ListVersion uint64 `msgpack:"v"`
}

// Page is one page of a complete view. All pages with the same ViewID belong to the same view. NextOffset is 0 on the last page.
type Page struct {
	ViewID     uint64            `msgpack:"s"`
	NextOffset int               `msgpack:"n"`
	Manifest   manifest.Manifest `msgpack:"m"`
	MemberList memberlist.List   `msgpack:"l"`
}

// ValueRequest requests the value called Name if its content hash is Hash.
type ValueRequest struct {
	Name string `msgpack:"n"`
	Hash string `msgpack:"h"`
}

// Value is the content of one configuration value.
type Value struct {
	Content []byte `msgpack:"c"`
}

// Leave announces that an instance is shutting down.
type Leave struct {
	From string `msgpack:"f"`
}

// AgeMS returns an age as it is sent: in milliseconds, rounded up, or -1 if it is a day or more.
func AgeMS(age time.Duration) int64 {
	if age >= 24*time.Hour {
		return -1
	}
	return (max(age, 0) + time.Millisecond - 1).Milliseconds()
}
