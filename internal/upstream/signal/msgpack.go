package signal

import (
	"crocuswing/internal/wire/field"

	"github.com/vmihailenco/msgpack/v5"
)

// EncodeMsgpack writes the signal as a map. The keys are part of the wire format.
func (s Signal) EncodeMsgpack(enc *msgpack.Encoder) error {
	w := field.NewWriter(enc, 6, 0)
	w.String("Incarnation", s.Incarnation)
	w.Bool("Cold", s.Cold)
	w.Bool("Leaving", s.Draining)
	w.Bool("Shed", s.Shed)
	w.Float("Load", s.Load)
	w.Duration("RetryAfter", s.RetryAfter)
	return w.Err()
}

// DecodeMsgpack reads the signal from a map and ignores unknown keys.
func (s *Signal) DecodeMsgpack(dec *msgpack.Decoder) error {
	r := field.NewReader(dec)
	for r.Next() {
		switch string(r.Key()) {
		case "Incarnation":
			s.Incarnation = r.String()
		case "Cold":
			s.Cold = r.Bool()
		case "Leaving":
			s.Draining = r.Bool()
		case "Shed":
			s.Shed = r.Bool()
		case "Load":
			s.Load = r.Float()
		case "RetryAfter":
			s.RetryAfter = r.Duration()
		default:
			r.Skip()
		}
	}
	return r.Err()
}
