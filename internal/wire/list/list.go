// Package list decodes lists of messages between instances. The decoder of MessagePack allocates the length that a message states before it
// reads the elements, so that a message of a few bytes would exhaust the memory.
package list

import "github.com/vmihailenco/msgpack/v5"

// List is a slice whose decoding allocates memory only for the elements that the message holds.
type List[T any] []T

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *List[T]) DecodeMsgpack(d *msgpack.Decoder) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	*l = nil
	for range n {
		var element T
		if err := d.Decode(&element); err != nil {
			return err
		}
		*l = append(*l, element)
	}
	return nil
}
