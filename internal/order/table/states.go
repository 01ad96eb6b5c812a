package table

const (
	// defaultWindow is the number of tickets whose states are held; they take 1 MiB.
	defaultWindow = 1 << 22

	stateBits     = 2
	statesPerWord = 64 / stateBits
	stateMask     = 1<<stateBits - 1
)

// States of a ticket.
const (
	stateOpen   = 0 // no order began under the ticket
	stateBegun  = 1 // an order began under the ticket
	stateClosed = 2 // no order will begin under the ticket
)

// stateRing is a ring buffer with the states of the newest tickets, two bits each. It also covers tickets whose entries were
// dropped from the table, so that a refusal of an old ticket can report whether an order ever began under it.
type stateRing struct {
	words  []uint64
	newest uint64
}

func newStateRing(tickets int) stateRing {
	return stateRing{words: make([]uint64, max(1, (tickets+statesPerWord-1)/statesPerWord))}
}

// issue returns the number of a new ticket, which replaces the oldest one in the ring.
func (r *stateRing) issue() uint64 {
	r.newest++
	r.set(r.newest, stateOpen)
	return r.newest
}

// get returns the state of a ticket, and false if the ticket was never issued or the ring no longer holds it.
func (r *stateRing) get(id uint64) (uint64, bool) {
	if id == 0 || id > r.newest || r.newest-id >= r.size() {
		return 0, false
	}
	index, shift := r.position(id)
	return r.words[index] >> shift & stateMask, true
}

func (r *stateRing) set(id, state uint64) {
	index, shift := r.position(id)
	r.words[index] = r.words[index]&^(stateMask<<shift) | state<<shift
}

func (r *stateRing) size() uint64 { return uint64(len(r.words)) * statesPerWord }

// position returns the index of the word that holds the state of a ticket, and the shift in that word.
func (r *stateRing) position(id uint64) (index, shift uint64) {
	slot := id % r.size()
	return slot / statesPerWord, slot % statesPerWord * stateBits
}
