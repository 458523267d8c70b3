// Package peer carries typed messages between the instances of the system over TCP, optionally
// inside TLS.
//
// A connection carries frames in both directions. A frame consists of a twelve-byte header and a
// msgpack payload. The header holds two bytes of magic, the version, a reserved zero byte, the
// payload's length and its CRC-32C. Structs in the payload are encoded as arrays of their fields,
// so a change of a message's fields requires a new version.
//
// Each instance dials its peers. The dialing side sends a Hello and then its calls; replies return
// on the same connection. A call carries an ID that its reply repeats. Messages of the quorum
// protocol and progress notes are sent without a reply and may be lost. A frame with a wrong
// magic, version, length or checksum closes its connection with one log line and has no other
// effect.
package peer

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/internal/net/fields"
)

// Version is the version of the frame format and of the messages.
const Version = 3

const (
	magic       = 0x4852 // "HR"
	headerBytes = 12

	// MaxFrame is the maximum payload length in bytes. It has to fit a snapshot.
	MaxFrame = 64 << 20
	// MaxHello is the maximum payload length in bytes of the Hello.
	MaxHello = 4 << 10
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// AppendFrame appends a frame with the given payload to b.
func AppendFrame(b, payload []byte) []byte {
	var h [headerBytes]byte
	binary.BigEndian.PutUint16(h[0:], magic)
	h[2] = Version
	binary.BigEndian.PutUint32(h[4:], uint32(len(payload)))
	binary.BigEndian.PutUint32(h[8:], crc32.Checksum(payload, castagnoli))
	return append(append(b, h[:]...), payload...)
}

// ReadFrame reads one frame and returns its payload. It returns io.EOF if the stream ends between
// frames, io.ErrUnexpectedEOF if it ends inside a frame, and a fault.FrameInvalid error if the
// frame is malformed or its payload is longer than limit bytes.
func ReadFrame(r io.Reader, limit int) ([]byte, error) {
	var h [headerBytes]byte
	if _, err := io.ReadFull(r, h[:]); err != nil {
		return nil, err
	}
	if m := binary.BigEndian.Uint16(h[0:]); m != magic {
		return nil, fault.New(fault.FrameInvalid, "frame: wrong magic %#x", m)
	}
	if h[2] != Version {
		return nil, fault.New(fault.FrameInvalid, "frame: version %d, want %d", h[2], Version)
	}
	if h[3] != 0 {
		return nil, fault.New(fault.FrameInvalid, "frame: reserved byte %#x, want 0", h[3])
	}
	n := binary.BigEndian.Uint32(h[4:])
	if uint64(n) > uint64(limit) {
		return nil, fault.New(fault.FrameInvalid, "frame: payload of %d bytes, limit %d", n, limit)
	}
	// The buffer grows with the bytes received, so a false length alone allocates no memory.
	var buf bytes.Buffer
	if _, err := io.CopyN(&buf, r, int64(n)); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	if sum := crc32.Checksum(buf.Bytes(), castagnoli); sum != binary.BigEndian.Uint32(h[8:]) {
		return nil, fault.New(fault.FrameInvalid, "frame: payload checksum %#x does not match the header", sum)
	}
	return buf.Bytes(), nil
}

// Envelope is a message with the fields that match a reply to its call.
type Envelope struct {
	CallID uint64 // ID of the call; 0 for a message without a reply
	Reply  bool
	Body   Body
}

// Encode returns the envelope as one frame.
func (e Envelope) Encode() ([]byte, error) {
	var buf bytes.Buffer
	if err := fields.NewEncoder(&buf).EncodeMulti(uint8(e.Body.kind()), e.CallID, e.Reply, e.Body); err != nil {
		return nil, fault.Wrap(fault.Internal, err)
	}
	if buf.Len() > MaxFrame {
		return nil, fault.New(fault.TooLarge, "message of %d bytes, limit %d", buf.Len(), MaxFrame)
	}
	return AppendFrame(nil, buf.Bytes()), nil
}

// Decode parses the payload of a frame. Its errors are of kind fault.FrameInvalid.
func Decode(payload []byte) (Envelope, error) {
	var e Envelope
	var k uint8
	dec := msgpack.NewDecoder(bytes.NewReader(payload))
	if err := dec.DecodeMulti(&k, &e.CallID, &e.Reply); err != nil {
		return Envelope{}, fault.New(fault.FrameInvalid, "message: %v", err)
	}
	body := newBody(kind(k))
	if body == nil {
		return Envelope{}, fault.New(fault.FrameInvalid, "message: unknown kind %d", k)
	}
	if err := dec.Decode(body); err != nil {
		return Envelope{}, fault.New(fault.FrameInvalid, "message of kind %d: %v", k, err)
	}
	e.Body = body
	return e, nil
}
