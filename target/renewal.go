package target

import (
	"encoding/binary"
	"time"
)

// Hundreds of instances pull from each voter the heartbeats of all targets that announce
// themselves to it. A target that reports no load changes only its sequence and lease, so
// its heartbeat is packed into a few bytes. With one message per heartbeat, encoding took
// most of the voters' CPU time.

// Renewals is a packed list of heartbeats without load and cache events. Each one is its
// number, sequence and remaining lease, as unsigned varints of encoding/binary. The lease
// is in units of leaseUnit, rounded down.
type Renewals []byte

// leaseUnit is the resolution of leases in milliseconds: a power of two that lets most
// leases fit into a varint of one byte.
const leaseUnit = 32

// isRenewal reports whether a heartbeat renews the lease and carries nothing else.
func (h *Heartbeat) isRenewal() bool {
	return h.Waiting == 0 && h.Running == 0 && h.Measured == 0 && len(h.Cache) == 0
}

// add appends a heartbeat, of which it keeps only number, sequence and remaining lease.
func (rs Renewals) add(h *Heartbeat) Renewals {
	rs = binary.AppendUvarint(rs, uint64(h.Number))
	rs = binary.AppendUvarint(rs, h.Sequence)
	return binary.AppendUvarint(rs, uint64(h.Remaining/leaseUnit))
}

// each calls f for every heartbeat. At a malformed or out-of-range entry it stops and
// returns false.
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
		if fields[0] > maxTargetNumber || fields[2] > maxLeaseUnits {
			return false
		}
		f(&Heartbeat{Number: uint32(fields[0]), Sequence: fields[1], Remaining: uint32(fields[2]) * leaseUnit})
	}
	return true
}

// Limits on the fields of a renewal.
const (
	maxTargetNumber = 1<<32 - 1
	maxLeaseUnits   = uint64(time.Hour / (leaseUnit * time.Millisecond)) // an hour, far above any lease
)
