package target

import (
	"encoding/binary"
	"time"
)

// Load pattern: hundreds of instances ask each voter for the heartbeats of all targets that
// announce themselves there. Targets that tell no load differ from their last heartbeat by
// sequence and lease only, so that what is left of them is packed into a few bytes: with
// one message each, encoding them took most of the voters' processor time.

// Renewals is heartbeats without load and cache events, packed: for each its number,
// sequence and remaining lease as unsigned varints of encoding/binary, the lease in
// multiples of renewalUnit, rounded down.
type Renewals []byte

// renewalUnit is a power of two in milliseconds, so that most leases fit into one byte.
const renewalUnit = 32

// renewal reports whether a heartbeat renews the lease and tells nothing else.
func (h *Heartbeat) renewal() bool {
	return h.Waiting == 0 && h.Running == 0 && h.Measured == 0 && len(h.Cache) == 0
}

// add appends a heartbeat.
func (rs Renewals) add(h *Heartbeat) Renewals {
	rs = binary.AppendUvarint(rs, uint64(h.Number))
	rs = binary.AppendUvarint(rs, h.Sequence)
	return binary.AppendUvarint(rs, uint64(h.Remaining/renewalUnit))
}

// each calls f for every heartbeat. It reports false, and stops, where the bytes are no
// renewals.
func (rs Renewals) each(f func(*Heartbeat)) bool {
	for len(rs) > 0 {
		var fields [3]uint64
		for i := range fields {
			v, n := binary.Uvarint(rs)
			if n <= 0 {
				return false
			}
			fields[i], rs = v, rs[n:]
		}
		if fields[0] > maxNumber || fields[2] > maxUnits {
			return false
		}
		f(&Heartbeat{Number: uint32(fields[0]), Sequence: fields[1], Remaining: uint32(fields[2]) * renewalUnit})
	}
	return true
}

// Bounds of the fields of a renewal.
const (
	maxNumber = 1<<32 - 1
	maxUnits  = uint64(time.Hour / (renewalUnit * time.Millisecond)) // far above every lease
)
