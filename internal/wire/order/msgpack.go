package order

import (
	"crocuswing/internal/wire/field"

	"github.com/vmihailenco/msgpack/v5"
)

// EncodeMsgpack encodes the request as a map.
func (q Request) EncodeMsgpack(enc *msgpack.Encoder) error {
	w := field.NewWriter(enc, 6, 0)
	w.String("i", q.RequestID)
	w.String("r", q.Reference)
	w.String("s", q.Service)
	w.String("k", q.Key)
	w.String("b", q.Body)
	w.Int("w", q.StartTimeoutMS)
	return w.Err()
}

// DecodeMsgpack decodes the request from a map and skips unknown keys.
func (q *Request) DecodeMsgpack(dec *msgpack.Decoder) error {
	r := field.NewReader(dec)
	for r.Next() {
		switch string(r.Key()) {
		case "i":
			q.RequestID = r.String()
		case "r":
			q.Reference = r.String()
		case "s":
			q.Service = r.String()
		case "k":
			q.Key = r.String()
		case "b":
			q.Body = r.String()
		case "w":
			q.StartTimeoutMS = r.Int()
		default:
			r.Skip()
		}
	}
	return r.Err()
}

// EncodeMsgpack encodes the reply as a map.
func (r Reply) EncodeMsgpack(enc *msgpack.Encoder) error {
	w := field.NewWriter(enc, 2, 0)
	w.String("i", r.RequestID)
	w.String("o", r.OrderID)
	return w.Err()
}

// DecodeMsgpack decodes the reply from a map and skips unknown keys.
func (r *Reply) DecodeMsgpack(dec *msgpack.Decoder) error {
	fr := field.NewReader(dec)
	for fr.Next() {
		switch string(fr.Key()) {
		case "i":
			r.RequestID = fr.String()
		case "o":
			r.OrderID = fr.String()
		default:
			fr.Skip()
		}
	}
	return fr.Err()
}
