// Package memberlist holds the platform's message for its live and leaving list.
package memberlist

import (
	"strings"
	"time"

	"crocuswing/internal/fleet/member"
	"crocuswing/internal/wire/manifest"
)

// List is one version of the list: all members, or those that changed since the version BaseVersion.
type List struct {
	// BaseVersion is the version that the members change; 0 means that they are all there are.
	BaseVersion uint64 `json:"from" msgpack:"f,omitempty"`
	Version     uint64 `json:"version" msgpack:"v"`
	// Digest is that of all members, each by its name and Hash.
	Digest  string          `json:"digest" msgpack:"d"`
	Members []member.Member `json:"members" msgpack:"m,omitempty"`
	Removed []string        `json:"removed,omitempty" msgpack:"x,omitempty"`
	// HoldTime is the time for which the platform held the request before it answered.
	HoldTime time.Duration `json:"-" msgpack:"-"`
}

// IsComplete tells whether the members are all there are.
func (l List) IsComplete() bool { return l.BaseVersion == 0 }

// Hash gives the content hash of a member: that of its fields, one a line.
func Hash(m member.Member) string {
	fields := []string{m.Name, m.Kind, m.FailureDomain, m.Region, m.Address, m.State}
	return manifest.Hash([]byte(strings.Join(fields, "\n")))
}
