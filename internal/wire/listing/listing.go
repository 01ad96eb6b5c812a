// Package listing holds the platform's message for its live and leaving list.
package listing

import "crocuswing/internal/fleet/member"

// Listing is one version of the list.
type Listing struct {
	Version uint64          `json:"version" msgpack:"v"`
	Members []member.Member `json:"members" msgpack:"m"`
}
