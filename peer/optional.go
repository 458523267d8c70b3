package peer

import (
	"reflect"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/hickoryridge/hickoryridge/fault"
)

// A message is encoded as an array of its fields, and an instance of an earlier version refuses one
// with more fields than it knows. Fields that were added later are therefore optional: they stand
// last and are left out where all of them are zero.

// encodeFields encodes the fields of a message, of which the last ones are optional.
func encodeFields(enc *msgpack.Encoder, optional int, fields ...any) error {
	n := len(fields)
	for optional > 0 && reflect.ValueOf(fields[n-1]).IsZero() {
		n--
		optional--
	}
	if err := enc.EncodeArrayLen(n); err != nil {
		return err
	}
	return enc.EncodeMulti(fields[:n]...)
}

// decodeFields decodes the fields of a message into pointers. Optional fields that are missing stay
// as they are.
func decodeFields(dec *msgpack.Decoder, optional int, fields ...any) error {
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n < len(fields)-optional || n > len(fields) {
		return fault.New(fault.FrameInvalid, "message has %d fields, want %d to %d", n, len(fields)-optional, len(fields))
	}
	return dec.DecodeMulti(fields[:n]...)
}

var (
	_ msgpack.CustomEncoder = Grant{}
	_ msgpack.CustomDecoder = (*Grant)(nil)
	_ msgpack.CustomEncoder = Sum{}
	_ msgpack.CustomDecoder = (*Sum)(nil)
	_ msgpack.CustomEncoder = Placed{}
	_ msgpack.CustomDecoder = (*Placed)(nil)
	_ msgpack.CustomEncoder = Note{}
	_ msgpack.CustomDecoder = (*Note)(nil)
)

// EncodeMsgpack encodes g. Limits is optional.
func (g Grant) EncodeMsgpack(enc *msgpack.Encoder) error {
	return encodeFields(enc, 1, g.Duration, g.Version, g.View, g.Claims, g.Roster, g.Holders, g.Limits)
}

// DecodeMsgpack decodes g.
func (g *Grant) DecodeMsgpack(dec *msgpack.Decoder) error {
	return decodeFields(dec, 1, &g.Duration, &g.Version, &g.View, &g.Claims, &g.Roster, &g.Holders, &g.Limits)
}

// EncodeMsgpack encodes s. Limits is optional.
func (s Sum) EncodeMsgpack(enc *msgpack.Encoder) error {
	return encodeFields(enc, 1, s.Loads, s.Placed, s.Next, s.Limits)
}

// DecodeMsgpack decodes s.
func (s *Sum) DecodeMsgpack(dec *msgpack.Decoder) error {
	return decodeFields(dec, 1, &s.Loads, &s.Placed, &s.Next, &s.Limits)
}

// EncodeMsgpack encodes p. Permitted and Limited are optional.
func (p Placed) EncodeMsgpack(enc *msgpack.Encoder) error {
	return encodeFields(enc, 2, p.Ticket, p.Target, p.CacheSource, p.Cached, p.ExpectedTTFT, p.QueueWait, p.RetryAfter, p.Permitted, p.Limited)
}

// DecodeMsgpack decodes p.
func (p *Placed) DecodeMsgpack(dec *msgpack.Decoder) error {
	return decodeFields(dec, 2, &p.Ticket, &p.Target, &p.CacheSource, &p.Cached, &p.ExpectedTTFT, &p.QueueWait, &p.RetryAfter, &p.Permitted, &p.Limited)
}

// EncodeMsgpack encodes n. Rate is optional.
func (n Note) EncodeMsgpack(enc *msgpack.Encoder) error {
	return encodeFields(enc, 1, n.Ticket, n.Event, n.Running, n.Slots, n.Rate)
}

// DecodeMsgpack decodes n.
func (n *Note) DecodeMsgpack(dec *msgpack.Decoder) error {
	return decodeFields(dec, 1, &n.Ticket, &n.Event, &n.Running, &n.Slots, &n.Rate)
}
