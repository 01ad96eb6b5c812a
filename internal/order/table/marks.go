package table

const (
	// defaultWindow is the number of tickets whose marks are held; they take 1 MiB.
	defaultWindow = 1 << 22

	markBits     = 2
	marksPerWord = 64 / markBits
	markMask     = 1<<markBits - 1
)

// Marks of a ticket.
const (
	markOpen   = 0 // no order began under the ticket
	markBegun  = 1 // an order began under the ticket
	markClosed = 2 // no order will begin under the ticket
)

// marks holds two bits for each of the newest tickets in a ring. It outlasts the entries of the table,
// so that a refusal of an old ticket can tell whether an order ever began under it.
type marks struct {
	words  []uint64
	newest uint64
}

func newMarks(tickets int) marks {
	return marks{words: make([]uint64, max(1, (tickets+marksPerWord-1)/marksPerWord))}
}

// issue numbers a new ticket, whose place in the ring it takes from the oldest one.
func (m *marks) issue() uint64 {
	m.newest++
	m.set(m.newest, markOpen)
	return m.newest
}

// get gives the mark of a ticket, and false if it is no longer or never was held.
func (m *marks) get(id uint64) (uint64, bool) {
	if id == 0 || id > m.newest || m.newest-id >= m.size() {
		return 0, false
	}
	word, shift := m.place(id)
	return m.words[word] >> shift & markMask, true
}

func (m *marks) set(id, mark uint64) {
	word, shift := m.place(id)
	m.words[word] = m.words[word]&^(markMask<<shift) | mark<<shift
}

func (m *marks) size() uint64 { return uint64(len(m.words)) * marksPerWord }

func (m *marks) place(id uint64) (word, shift uint64) {
	slot := id % m.size()
	return slot / marksPerWord, slot % marksPerWord * markBits
}
