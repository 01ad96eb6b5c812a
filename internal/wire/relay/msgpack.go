package relay

import (
	"crocuswing/internal/wire/field"
	"crocuswing/internal/wire/order"
	"crocuswing/internal/wire/part"

	"github.com/vmihailenco/msgpack/v5"
)

// Initial buffer sizes in bytes, which most messages do not exceed apart from the rows of a reply.
const (
	requestSizeHint = 160
	replySizeHint   = 256
)

// EncodeMsgpack encodes the request as a map.
func (q Request) EncodeMsgpack(enc *msgpack.Encoder) error {
	w := field.NewWriter(enc, 5, requestSizeHint)
	w.String("u", q.Upstream)
	if q.Part == nil {
		w.Nil("p")
	} else {
		w.Message("p", q.Part.EncodeMsgpack)
	}
	if q.Order == nil {
		w.Nil("o")
	} else {
		w.Message("o", q.Order.EncodeMsgpack)
	}
	w.Bool("d", q.Restarted)
	w.String("i", q.Incarnation)
	return w.Err()
}

// DecodeMsgpack decodes the request from a map and skips unknown keys.
func (q *Request) DecodeMsgpack(dec *msgpack.Decoder) error {
	r := field.NewReader(dec)
	for r.Next() {
		switch string(r.Key()) {
		case "u":
			q.Upstream = r.String()
		case "p":
			if q.Part = nil; !r.Nil() {
				q.Part = new(part.Request)
				r.Message(q.Part)
			}
		case "o":
			if q.Order = nil; !r.Nil() {
				q.Order = new(order.Request)
				r.Message(q.Order)
			}
		case "d":
			q.Restarted = r.Bool()
		case "i":
			q.Incarnation = r.String()
		default:
			r.Skip()
		}
	}
	return r.Err()
}

// EncodeMsgpack encodes the reply as a map.
func (r Reply) EncodeMsgpack(enc *msgpack.Encoder) error {
	w := field.NewWriter(enc, 10, replySizeHint)
	w.Message("p", r.Part.EncodeMsgpack)
	w.Message("o", r.Order.EncodeMsgpack)
	w.Message("s", r.Signal.EncodeMsgpack)
	w.String("f", r.FailureKind)
	w.Bool("n", r.NotRun)
	w.String("r", r.Reason)
	w.Bool("c", r.Cold)
	w.String("i", r.Incarnation)
	w.Bool("e", r.AllowsOtherHome)
	w.Duration("w", r.RetryAfter)
	return w.Err()
}

// DecodeMsgpack decodes the reply from a map and skips unknown keys.
func (r *Reply) DecodeMsgpack(dec *msgpack.Decoder) error {
	fr := field.NewReader(dec)
	for fr.Next() {
		switch string(fr.Key()) {
		case "p":
			fr.Message(&r.Part)
		case "o":
			fr.Message(&r.Order)
		case "s":
			fr.Message(&r.Signal)
		case "f":
			r.FailureKind = fr.String()
		case "n":
			r.NotRun = fr.Bool()
		case "r":
			r.Reason = fr.String()
		case "c":
			r.Cold = fr.Bool()
		case "i":
			r.Incarnation = fr.String()
		case "e":
			r.AllowsOtherHome = fr.Bool()
		case "w":
			r.RetryAfter = fr.Duration()
		default:
			fr.Skip()
		}
	}
	return fr.Err()
}
