package target

import (
	"bytes"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/hickoryridge/hickoryridge/fault"
)

// Load pattern: after a start of all, or of the voters, hundreds of instances ask for
// thousands of targets at once. Each announcement is encoded once, and its bytes go into
// every listing until the target announces itself again.

// Shared is the announcement of a target that the receiver does not know yet, or
// that has changed in more than its load. It is sent as an array of its exported fields.
type Shared struct {
	Number       uint32 // of the target in heartbeats of this run
	Announcement Announcement
	Remaining    time.Duration // of the lease, when the listing was made

	encoded msgpack.RawMessage // the announcement, if it is encoded already
}

var (
	_ msgpack.CustomEncoder = Shared{}
	_ msgpack.CustomDecoder = (*Shared)(nil)
)

// sharedFields is the number of fields that are sent.
const sharedFields = 3

// shared returns the record for a listing.
func (r *Record) shared(remaining time.Duration) Shared {
	if r.published.encoded == nil {
		r.published.encoded = encode(&r.Announcement)
	}
	return Shared{Number: r.published.number, Announcement: r.Announcement, Remaining: remaining, encoded: r.published.encoded}
}

// encode returns the bytes of an announcement as instances send them, or nil if there are
// none; then the encoder of the message finds the error.
func encode(a *Announcement) msgpack.RawMessage {
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

// EncodeMsgpack writes s.
func (s Shared) EncodeMsgpack(enc *msgpack.Encoder) error {
	if err := enc.EncodeArrayLen(sharedFields); err != nil {
		return err
	}
	if s.encoded == nil {
		return enc.EncodeMulti(s.Number, &s.Announcement, s.Remaining)
	}
	return enc.EncodeMulti(s.Number, s.encoded, s.Remaining)
}

// DecodeMsgpack reads what EncodeMsgpack wrote.
func (s *Shared) DecodeMsgpack(dec *msgpack.Decoder) error {
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n != sharedFields {
		return fault.New(fault.FrameInvalid, "announcement in a listing: %d fields, want %d", n, sharedFields)
	}
	return dec.DecodeMulti(&s.Number, &s.Announcement, &s.Remaining)
}
