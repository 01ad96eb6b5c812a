// Package member defines an entry of the platform's member list: an instance of this tier or an upstream.
package member

// Kinds of members.
const (
	KindInstance = "instance"
	KindUpstream = "upstream"
)

// States of a member.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
	StateCold    = "cold"
)

// Member is an instance or an upstream as listed by the platform.
type Member struct {
	Name          string `json:"name" msgpack:"n"`
	Kind          string `json:"kind" msgpack:"k"`
	FailureDomain string `json:"failure-domain" msgpack:"d"`
	Region        string `json:"region" msgpack:"g"`
	// Address is an IP literal and a port: the HTTP address of an upstream or the peer address of an instance.
	Address string `json:"address" msgpack:"a"`
	State   string `json:"state" msgpack:"s"`
}
