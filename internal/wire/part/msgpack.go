package part

import (
	"crocuswing/internal/wire/field"

	"github.com/vmihailenco/msgpack/v5"
)

// EncodeMsgpack encodes the request as a map.
func (q Request) EncodeMsgpack(enc *msgpack.Encoder) error {
	w := field.NewWriter(enc, 6, 0)
	w.String("i", q.RequestID)
	w.String("s", q.Service)
	w.String("h", q.Shard)
	w.String("n", q.Snapshot)
	w.String("q", q.Query)
	w.String("k", q.Key)
	return w.Err()
}

// DecodeMsgpack decodes the request from a map and skips unknown keys.
func (q *Request) DecodeMsgpack(dec *msgpack.Decoder) error {
	r := field.NewReader(dec)
	for r.Next() {
		switch string(r.Key()) {
		case "i":
			q.RequestID = r.String()
		case "s":
			q.Service = r.String()
		case "h":
			q.Shard = r.String()
		case "n":
			q.Snapshot = r.String()
		case "q":
			q.Query = r.String()
		case "k":
			q.Key = r.String()
		default:
			r.Skip()
		}
	}
	return r.Err()
}

// EncodeMsgpack encodes the reply as a map.
func (r Reply) EncodeMsgpack(enc *msgpack.Encoder) error {
	w := field.NewWriter(enc, 6, 0)
	w.String("i", r.RequestID)
	w.String("s", r.Service)
	w.String("h", r.Shard)
	w.String("n", r.Snapshot)
	w.Int("c", int64(r.Count))
	w.Strings("r", r.Rows)
	return w.Err()
}

// DecodeMsgpack decodes the reply from a map and skips unknown keys.
func (r *Reply) DecodeMsgpack(dec *msgpack.Decoder) error {
	fr := field.NewReader(dec)
	for fr.Next() {
		switch string(fr.Key()) {
		case "i":
			r.RequestID = fr.String()
		case "s":
			r.Service = fr.String()
		case "h":
			r.Shard = fr.String()
		case "n":
			r.Snapshot = fr.String()
		case "c":
			r.Count = int(fr.Int())
		case "r":
			r.Rows = fr.Strings()
		default:
			fr.Skip()
		}
	}
	return fr.Err()
}
