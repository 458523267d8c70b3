package target

import (
	"bytes"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/hickoryridge/hickoryridge/internal/net/fields"
)

// After a start of the cluster or of the voters, hundreds of instances request thousands
// of targets at once. Each announcement is therefore encoded only once, and its bytes are
// reused in every listing until the target announces itself again.

// Shared is the full announcement of a target that is new to the receiver, or of which
// more than the load has changed. It is sent as an array of its exported fields.
type Shared struct {
	Number       uint32 // identifies the target in heartbeats of this run
	Announcement Announcement
	Remaining    time.Duration // lease left when the listing was created

	encoded msgpack.RawMessage // announcement, if it is encoded already
}

var (
	_ msgpack.CustomEncoder = Shared{}
	_ msgpack.CustomDecoder = (*Shared)(nil)
	_ msgpack.CustomEncoder = (*Announcement)(nil)
	_ msgpack.CustomDecoder = (*Announcement)(nil)
)

// shared returns the record as an entry of a listing. It caches the encoding.
func (r *Record) shared(remaining time.Duration) Shared {
	if r.listing.encoded == nil {
		r.listing.encoded = encodeAnnouncement(&r.Announcement)
	}
	return Shared{Number: r.listing.number, Announcement: r.Announcement, Remaining: remaining, encoded: r.listing.encoded}
}

// encodeAnnouncement returns the wire encoding of an announcement, or nil on an error.
// In that case the message's encoder encodes the announcement again and reports the error.
func encodeAnnouncement(a *Announcement) msgpack.RawMessage {
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	var buf bytes.Buffer
	enc.Reset(&buf)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(a); err != nil {
		return nil
	}
	return buf.Bytes()
}

// EncodeMsgpack writes s as an array of its exported fields.
func (s Shared) EncodeMsgpack(enc *msgpack.Encoder) error {
	if s.encoded == nil {
		return fields.Encode(enc, 0, s.Number, &s.Announcement, s.Remaining)
	}
	return fields.Encode(enc, 0, s.Number, s.encoded, s.Remaining)
}

// DecodeMsgpack reads the encoding of EncodeMsgpack.
func (s *Shared) DecodeMsgpack(dec *msgpack.Decoder) error {
	return fields.Decode(dec, 0, &s.Number, &s.Announcement, &s.Remaining)
}

// EncodeMsgpack encodes a. Software and Reclaimable are optional.
func (a *Announcement) EncodeMsgpack(enc *msgpack.Encoder) error {
	return fields.Encode(enc, 2, a.Target, a.Service, a.Address, a.Region, a.Domain, a.Incarnation, a.Sequence, a.Lease, a.Leaving, a.Load, a.Engine, a.Cache, a.Software, a.Reclaimable)
}

// DecodeMsgpack decodes a.
func (a *Announcement) DecodeMsgpack(dec *msgpack.Decoder) error {
	return fields.Decode(dec, 2, &a.Target, &a.Service, &a.Address, &a.Region, &a.Domain, &a.Incarnation, &a.Sequence, &a.Lease, &a.Leaving, &a.Load, &a.Engine, &a.Cache, &a.Software, &a.Reclaimable)
}
