package membership

import (
	"maps"
	"slices"
	"time"

	"crocuswing/internal/wire/list"
)

const (
	// A message holds one in messageDivisor of the other instances, at least minMembers and at most maxMembers; the rest
	// is sent in other rounds. At 2,800 instances this is 3 KB/s.
	messageDivisor = 4
	minMembers     = 8
	maxMembers     = 32
	// sampleFactor times as many instances are drawn, of which those with the most recent heartbeats are sent.
	sampleFactor = 2
	// maxListed is the number of other instances in a reply that lists all: 24 KB. An instance of a larger fleet needs several replies.
	maxListed = 320
)

// Message is both the request and the reply of a gossip exchange. Its first member is the sender. Instances of former releases ignore and
// do not send the other fields.
type Message struct {
	Members list.List[Member] `msgpack:"m"`
	// WantAll asks for all members, unless the names known to the receiver have the same Digest.
	WantAll bool   `msgpack:"w,omitempty"`
	Digest  uint64 `msgpack:"x,omitempty"`
	// Known reports that the sender knows the fleet, which has Size instances. In a reply, Counted reports that all instances that know the
	// fleet have the receiver in it.
	Known   bool `msgpack:"k,omitempty"`
	Size    int  `msgpack:"z,omitempty"`
	Counted bool `msgpack:"b,omitempty"`
}

// request returns the message of a call.
func (ms *Membership) request(wantAll bool, now time.Time) Message {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	msg := ms.message(ms.messageSize(), now)
	msg.WantAll, msg.Digest = wantAll, ms.digest
	return msg
}

// reply merges the request of another instance and returns the reply.
func (ms *Membership) reply(request Message, now time.Time) Message {
	isCounted := len(request.Members) > 0 && ms.isCounted(request.Members[0].Name, now)
	ms.merge(request, now)
	request.Counted = false // only valid in a reply
	ms.learn(request, now)
	ms.mu.Lock()
	defer ms.mu.Unlock()
	size := ms.messageSize()
	if request.WantAll && request.Digest != ms.digest {
		size = maxListed
	}
	msg := ms.message(size, now)
	msg.Counted = isCounted
	return msg
}

// message returns a message with size other instances, at least a half of them drawn from all, which keeps their heartbeats recent. The
// rest has been added lately, if there are such, so that all instances know a new one soon.
func (ms *Membership) message(size int, now time.Time) Message {
	all := ms.sample(len(ms.members))
	drawn := slices.Clone(all[:min(sampleFactor*size, len(all))])
	slices.SortStableFunc(drawn, func(a, b *member) int { return b.lastHeartbeat.Compare(a.lastHeartbeat) })
	msg := Message{Members: []Member{ms.self}, Known: ms.known, Size: len(all) + 1}
	added := make(map[string]bool)
	add := func(m *member, limit int) {
		if len(msg.Members) <= limit && !added[m.Name] {
			added[m.Name] = true
			msg.Members = append(msg.Members, m.Member)
		}
	}
	for _, m := range all {
		if now.Sub(m.addedAt) < spreadTime {
			add(m, size/2)
		}
	}
	for _, m := range drawn {
		add(m, size)
	}
	return msg
}

// runningMembers returns the other running instances in the order of their names.
func (ms *Membership) runningMembers() []*member {
	if ms.running == nil {
		ms.running = make([]*member, 0, len(ms.members))
		for _, name := range slices.Sorted(maps.Keys(ms.members)) {
			if m := ms.members[name]; !m.failed {
				ms.running = append(ms.running, m)
			}
		}
	}
	return ms.running
}

// sample returns at most n other running instances in random order.
func (ms *Membership) sample(n int) []*member {
	all := slices.Clone(ms.runningMembers())
	ms.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// sampleKnowing returns a random member that knows the fleet, or nil.
func (ms *Membership) sampleKnowing() *member {
	for _, m := range ms.sample(len(ms.members)) {
		if m.knowsFleet {
			return m
		}
	}
	return nil
}

// messageSize returns the number of other instances in a message.
func (ms *Membership) messageSize() int {
	return min(max(minMembers, len(ms.members)/messageDivisor), maxMembers)
}
