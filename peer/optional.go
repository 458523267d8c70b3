package peer

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/hickoryridge/hickoryridge/internal/net/fields"
)

var (
	_ msgpack.CustomEncoder = Grant{}
	_ msgpack.CustomDecoder = (*Grant)(nil)
	_ msgpack.CustomEncoder = Listing{}
	_ msgpack.CustomDecoder = (*Listing)(nil)
	_ msgpack.CustomEncoder = Sum{}
	_ msgpack.CustomDecoder = (*Sum)(nil)
	_ msgpack.CustomEncoder = Place{}
	_ msgpack.CustomDecoder = (*Place)(nil)
	_ msgpack.CustomEncoder = Placed{}
	_ msgpack.CustomDecoder = (*Placed)(nil)
	_ msgpack.CustomEncoder = Note{}
	_ msgpack.CustomDecoder = (*Note)(nil)
)

// EncodeMsgpack encodes g. Limits is optional.
func (g Grant) EncodeMsgpack(enc *msgpack.Encoder) error {
	return fields.Encode(enc, 1, g.Duration, g.Version, g.View, g.Claims, g.Roster, g.Holders, g.Limits)
}

// DecodeMsgpack decodes g.
func (g *Grant) DecodeMsgpack(dec *msgpack.Decoder) error {
	return fields.Decode(dec, 1, &g.Duration, &g.Version, &g.View, &g.Claims, &g.Roster, &g.Holders, &g.Limits)
}

// EncodeMsgpack encodes s. Limits is optional.
func (s Sum) EncodeMsgpack(enc *msgpack.Encoder) error {
	return fields.Encode(enc, 1, s.Loads, s.Placed, s.Next, s.Limits)
}

// DecodeMsgpack decodes s.
func (s *Sum) DecodeMsgpack(dec *msgpack.Decoder) error {
	return fields.Decode(dec, 1, &s.Loads, &s.Placed, &s.Next, &s.Limits)
}

// EncodeMsgpack encodes p. Software is optional.
func (p Place) EncodeMsgpack(enc *msgpack.Encoder) error {
	return fields.Encode(enc, 2, p.Service, p.Version, p.Stage, p.Prompt, p.Parts, p.Avoid, p.Urgency, p.CacheRegion, p.TTFTObjective, p.Remaining, p.KnownEngines, p.Software, p.Entry)
}

// DecodeMsgpack decodes p.
func (p *Place) DecodeMsgpack(dec *msgpack.Decoder) error {
	return fields.Decode(dec, 2, &p.Service, &p.Version, &p.Stage, &p.Prompt, &p.Parts, &p.Avoid, &p.Urgency, &p.CacheRegion, &p.TTFTObjective, &p.Remaining, &p.KnownEngines, &p.Software, &p.Entry)
}

// EncodeMsgpack encodes p. Permitted, Limited and Standing are optional.
func (p Placed) EncodeMsgpack(enc *msgpack.Encoder) error {
	return fields.Encode(enc, 3, p.Ticket, p.Target, p.CacheSource, p.Cached, p.ExpectedTTFT, p.QueueWait, p.RetryAfter, p.Permitted, p.Limited, p.Standing)
}

// DecodeMsgpack decodes p.
func (p *Placed) DecodeMsgpack(dec *msgpack.Decoder) error {
	return fields.Decode(dec, 3, &p.Ticket, &p.Target, &p.CacheSource, &p.Cached, &p.ExpectedTTFT, &p.QueueWait, &p.RetryAfter, &p.Permitted, &p.Limited, &p.Standing)
}

// EncodeMsgpack encodes n. Rate and Pace are optional.
func (n Note) EncodeMsgpack(enc *msgpack.Encoder) error {
	return fields.Encode(enc, 2, n.Ticket, n.Event, n.Running, n.Slots, n.Rate, n.Pace)
}

// DecodeMsgpack decodes n.
func (n *Note) DecodeMsgpack(dec *msgpack.Decoder) error {
	return fields.Decode(dec, 2, &n.Ticket, &n.Event, &n.Running, &n.Slots, &n.Rate, &n.Pace)
}

// EncodeMsgpack encodes l. Wall is optional.
func (l Listing) EncodeMsgpack(enc *msgpack.Encoder) error {
	return fields.Encode(enc, 1, l.Targets, l.Wall)
}

// DecodeMsgpack decodes l.
func (l *Listing) DecodeMsgpack(dec *msgpack.Decoder) error {
	return fields.Decode(dec, 1, &l.Targets, &l.Wall)
}
