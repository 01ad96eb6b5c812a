// Package memberlist defines the message that carries the platform's list of live and leaving members, or changes to it.
// Instances read it from the platform and pass it on to each other.
package memberlist

import (
	"strings"
	"time"

	"crocuswing/internal/fleet/member"
	"crocuswing/internal/wire/manifest"
)

// List is one version of the member list: all members, or those that changed since BaseVersion.
type List struct {
	// BaseVersion is the version that the changes apply to; 0 means that the list is complete.
	BaseVersion uint64 `json:"from" msgpack:"f,omitempty"`
	Version     uint64 `json:"version" msgpack:"v"`
	// Digest is the digest of all members of this version, each by its name and Hash.
	Digest  string          `json:"digest" msgpack:"d"`
	Members []member.Member `json:"members" msgpack:"m,omitempty"`
	Removed []string        `json:"removed,omitempty" msgpack:"x,omitempty"`
	// HoldTime is the time for which the platform held the long-polling request before it replied.
	HoldTime time.Duration `json:"-" msgpack:"-"`
}

// IsComplete reports whether the list holds all members rather than changes.
func (l List) IsComplete() bool { return l.BaseVersion == 0 }

// Hash returns the content hash of a member, which covers its fields, one per line.
func Hash(m member.Member) string {
	fields := []string{m.Name, m.Kind, m.FailureDomain, m.Region, m.Address, m.State}
	return manifest.Hash([]byte(strings.Join(fields, "\n")))
}
