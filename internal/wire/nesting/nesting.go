// Package nesting limits how deeply the values of an encoded message are nested. A decoder that skips an unknown field calls itself
// for each level, so that a small message of many levels would exhaust the memory for its stack. Clients and servers of calls between
// instances check each message before they decode it.
package nesting

import (
	"encoding/binary"
	"fmt"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// MaxDepth is the maximum number of maps and arrays around a value. No message of this project has half as many.
const MaxDepth = 32

// Error reports a message whose values are nested too deeply.
type Error struct{ Offset int }

// Error returns the limit and the position of the value that exceeds it.
func (e *Error) Error() string {
	return fmt.Sprintf("values are nested more than %d levels deep at byte %d", MaxDepth, e.Offset)
}

// Check returns *Error if the MessagePack value at the start of text is nested too deeply. It does not report other defects, which the
// decoder finds.
func Check(text []byte) error {
	var open [MaxDepth]uint64 // values that each container around the next value still lacks
	depth := 0
	for at := 0; at < len(text); {
		size, values := header(text[at:])
		if values > 0 {
			if depth == MaxDepth {
				return &Error{Offset: at}
			}
			open[depth] = values
			depth++
		}
		if size > uint64(len(text)-at) {
			return nil // cut off
		}
		at += int(size)
		if values > 0 {
			continue
		}
		for depth > 0 {
			if open[depth-1]--; open[depth-1] > 0 {
				break
			}
			depth--
		}
		if depth == 0 {
			return nil
		}
	}
	return nil
}

// header returns the number of bytes of the value at the start of text, without the values that it contains, and the number of these.
func header(text []byte) (size, values uint64) {
	switch code := text[0]; {
	case msgpcode.IsFixedNum(code):
		return 1, 0
	case msgpcode.IsFixedMap(code):
		return 1, 2 * uint64(code&msgpcode.FixedMapMask)
	case msgpcode.IsFixedArray(code):
		return 1, uint64(code & msgpcode.FixedArrayMask)
	case msgpcode.IsFixedString(code):
		return 1 + uint64(code&msgpcode.FixedStrMask), 0
	case code == msgpcode.Array16, code == msgpcode.Array32:
		return lengthField(text, 2<<(code-msgpcode.Array16))
	case code == msgpcode.Map16, code == msgpcode.Map32:
		size, values = lengthField(text, 2<<(code-msgpcode.Map16))
		return size, 2 * values
	default:
		return scalarSize(text), 0
	}
}

// scalarSize returns the size of a value that contains no others and is not in one of the formats of a single byte.
func scalarSize(text []byte) uint64 {
	switch code := text[0]; code {
	case msgpcode.Bin8, msgpcode.Str8, msgpcode.Bin16, msgpcode.Str16, msgpcode.Bin32, msgpcode.Str32:
		first := msgpcode.Str8
		if code <= msgpcode.Bin32 {
			first = msgpcode.Bin8
		}
		size, length := lengthField(text, 1<<(code-first))
		return size + length
	case msgpcode.Ext8, msgpcode.Ext16, msgpcode.Ext32:
		size, length := lengthField(text, 1<<(code-msgpcode.Ext8))
		return size + 1 + length
	case msgpcode.Uint8, msgpcode.Uint16, msgpcode.Uint32, msgpcode.Uint64:
		return 1 + 1<<(code-msgpcode.Uint8)
	case msgpcode.Int8, msgpcode.Int16, msgpcode.Int32, msgpcode.Int64:
		return 1 + 1<<(code-msgpcode.Int8)
	case msgpcode.FixExt1, msgpcode.FixExt2, msgpcode.FixExt4, msgpcode.FixExt8, msgpcode.FixExt16:
		return 2 + 1<<(code-msgpcode.FixExt1)
	case msgpcode.Float:
		return 5
	case msgpcode.Double:
		return 9
	}
	return 1 // nil, booleans and the unused code
}

// lengthField returns the size of the code and the length field after it, and the value of that field.
func lengthField(text []byte, width int) (size, length uint64) {
	size = 1 + uint64(width)
	if uint64(len(text)) < size {
		return size, 0
	}
	var wide [8]byte
	copy(wide[8-width:], text[1:size])
	return size, binary.BigEndian.Uint64(wide[:])
}
