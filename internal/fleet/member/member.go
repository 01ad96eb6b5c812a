// Package member describes one entry of the platform's live list.
package member

// Kinds of member.
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

// Member is an instance or an upstream as the platform lists it.
type Member struct {
	Name          string `json:"name" msgpack:"n"`
	Kind          string `json:"kind" msgpack:"k"`
	FailureDomain string `json:"failure-domain" msgpack:"d"`
	Region        string `json:"region" msgpack:"g"`
	// Address is an IP literal and a port: of an upstream its HTTP address, of an instance its peer address.
	Address string `json:"address" msgpack:"a"`
	State   string `json:"state" msgpack:"s"`
}
