// Package peer carries typed messages between the instances of the system over
// TCP, optionally inside TLS.
//
// A connection carries frames in both directions. A frame is a header of twelve
// bytes and a msgpack payload: two bytes of magic, the version, a zero byte, the
// payload's length and its CRC-32C. In the payload structures are arrays of their
// fields, so a change of a message's fields needs another version. The dialling side opens with a Hello. A frame
// with a wrong magic, version, length or checksum ends that connection with one
// log line and harms nothing else. Calls carry an id that the reply repeats;
// messages of the quorum protocol are sent without a reply.
package peer

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/hickoryridge/hickoryridge/fault"
)

// Version is the version of the frame format and of the messages in it.
const Version = 3

const (
	magic       = 0x4852 // "HR"
	headerBytes = 12

	// MaxFrame is the longest payload in bytes. Snapshots need the room.
	MaxFrame = 64 << 20
	// MaxHello is the longest payload before the Hello was accepted.
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

// ReadFrame reads one frame and returns its payload. It returns io.EOF at a clean
// end, io.ErrUnexpectedEOF inside a frame and a fault.FrameInvalid error for a
// frame that breaks the format or is longer than limit bytes.
func ReadFrame(r io.Reader, limit int) ([]byte, error) {
	var h [headerBytes]byte
	if _, err := io.ReadFull(r, h[:]); err != nil {
		return nil, err
	}
	if m := binary.BigEndian.Uint16(h[0:]); m != magic {
		return nil, fault.New(fault.FrameInvalid, "frame: magic %#x", m)
	}
	if h[2] != Version {
		return nil, fault.New(fault.FrameInvalid, "frame: version %d, want %d", h[2], Version)
	}
	if h[3] != 0 {
		return nil, fault.New(fault.FrameInvalid, "frame: reserved byte %#x", h[3])
	}
	n := binary.BigEndian.Uint32(h[4:])
	if uint64(n) > uint64(limit) {
		return nil, fault.New(fault.FrameInvalid, "frame: %d bytes, limit %d", n, limit)
	}
	// The buffer grows with what arrives: a false length costs the sender bytes.
	var buf bytes.Buffer
	if _, err := io.CopyN(&buf, r, int64(n)); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	if sum := crc32.Checksum(buf.Bytes(), castagnoli); sum != binary.BigEndian.Uint32(h[8:]) {
		return nil, fault.New(fault.FrameInvalid, "frame: checksum %#x does not match", sum)
	}
	return buf.Bytes(), nil
}

// Envelope is a decoded message with what a connection needs to route it.
type Envelope struct {
	CallID uint64 // id of the call; 0 for a message without a reply
	Reply  bool
	Body   Body
}

// Encode returns the envelope as one frame.
func (e Envelope) Encode() ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if err := enc.EncodeMulti(uint8(e.Body.kind()), e.CallID, e.Reply, e.Body); err != nil {
		return nil, fault.Wrap(fault.Internal, err)
	}
	if buf.Len() > MaxFrame {
		return nil, fault.New(fault.TooLarge, "message of %d bytes, limit %d", buf.Len(), MaxFrame)
	}
	return AppendFrame(nil, buf.Bytes()), nil
}

// Decode parses the payload of a frame.
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
