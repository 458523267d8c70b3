package state

import (
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
)

// Lifetimes of receipts.
const (
	// Retention is the age up to which the timestamp embedded in a key is accepted. A
	// receipt and its response are kept for MaxKeyAhead longer.
	Retention = 24 * time.Hour
	// MaxKeyAhead is how far the timestamp embedded in a key may lie in the future.
	MaxKeyAhead = 5 * time.Minute
	// maxExpirePerCommand bounds the receipts that one command expires, so that no
	// command is slow.
	maxExpirePerCommand = 64
)

// ReceiptState is the state of a receipt. Apart from open, it corresponds to an
// Outcome.
type ReceiptState string

// The states of receipts.
const (
	ReceiptOpen     ReceiptState = "open"
	ReceiptDone     ReceiptState = "done"
	ReceiptReleased ReceiptState = "released"
	ReceiptUnknown  ReceiptState = "unknown"
)

// Receipt records the state of the single execution of an at-most-once request.
type Receipt struct {
	ID       ReceiptID        `msgpack:"id"`
	Digest   ident.Digest     `msgpack:"digest"` // empty if released before it was opened
	State    ReceiptState     `msgpack:"state"`
	Attempt  ident.AttemptID  `msgpack:"attempt"`
	Owner    ident.InstanceID `msgpack:"owner"`
	Boot     ident.BootID     `msgpack:"boot"`
	Opened   UnixMillis       `msgpack:"opened"`
	KeyTime  UnixMillis       `msgpack:"keytime"`
	Response *StoredResponse  `msgpack:"answer,omitempty"`
}

// Claim identifies the attempt that holds a key.
type Claim struct {
	ID      ReceiptID       `msgpack:"id"`
	Attempt ident.AttemptID `msgpack:"attempt"`
}

// tombstone is the digest of a ReceiptID. It remains after the receipt of a key
// without a timestamp expires, so that the key never runs again.
type tombstone [16]byte

func tombstoneOf(id ReceiptID) tombstone {
	sum := sha256.Sum256(fmt.Appendf(nil, "%q %q %q", id.Tenant, id.Service, id.Key))
	return tombstone(sum[:16])
}

// receipts holds all receipts and maintains these invariants:
//
//   - A key is open for at most one attempt, and only a released attempt frees it.
//   - Only the attempt that opened a receipt closes it as done or released. Any
//     instance may set the receipt of an ended process run to unknown.
//   - An expired key is refused forever, because of its timestamp or its tombstone.
type receipts struct {
	byID        map[ReceiptID]*Receipt
	expiryQueue []expiryEntry // in the order of opening
	tombstones  map[tombstone]struct{}
	openCount   int
}

// expiryEntry is a receipt's position in the expiry queue.
type expiryEntry struct {
	ID      ReceiptID       `msgpack:"id"`
	Attempt ident.AttemptID `msgpack:"attempt"`
	Opened  UnixMillis      `msgpack:"opened"`
}

func newReceipts() *receipts {
	return &receipts{byID: map[ReceiptID]*Receipt{}, tombstones: map[tombstone]struct{}{}}
}

func (rs *receipts) openReceipt(now UnixMillis, o OpenReceipt) (Receipt, error) {
	if err := rs.checkKey(now, o); err != nil {
		return Receipt{}, err
	}
	r := rs.byID[o.ID]
	if r == nil {
		return rs.insert(now, o), nil
	}
	if r.Digest != "" && r.Digest != o.Digest {
		return *r, fault.New(fault.KeyReused, "key %q was used for a different request", o.ID.Key)
	}
	switch r.State {
	case ReceiptOpen:
		if r.Attempt == o.Attempt {
			return *r, nil // the same proposal was appended twice
		}
		return *r, fault.New(fault.InProgress, "the request with key %q is being run by instance %s", o.ID.Key, r.Owner)
	case ReceiptDone:
		return *r, nil
	case ReceiptReleased:
		if r.Attempt == o.Attempt {
			return *r, fault.New(fault.InProgress, "attempt %s was already released", o.Attempt)
		}
		return rs.insert(now, o), nil
	default:
		return *r, fault.New(fault.OutcomeUnknown, "the outcome of the request with key %q is unknown; it is not run again", o.ID.Key)
	}
}

// checkKey refuses expired keys and keys with a timestamp in the future.
func (rs *receipts) checkKey(now UnixMillis, o OpenReceipt) error {
	if _, expired := rs.tombstones[tombstoneOf(o.ID)]; expired {
		return fault.New(fault.KeyExpired, "key %q has expired; its outcome is no longer stored", o.ID.Key)
	}
	if o.KeyTime == 0 {
		return nil
	}
	if o.KeyTime > now+UnixMillis(MaxKeyAhead.Milliseconds()) {
		return fault.New(fault.KeyMalformed, "the timestamp embedded in key %q lies too far in the future", o.ID.Key)
	}
	if o.KeyTime+UnixMillis(Retention.Milliseconds()) <= now {
		return fault.New(fault.KeyExpired, "key %q has expired; its outcome is no longer stored", o.ID.Key)
	}
	return nil
}

func (rs *receipts) insert(now UnixMillis, o OpenReceipt) Receipt {
	r := &Receipt{
		ID: o.ID, Digest: o.Digest, State: ReceiptOpen, Attempt: o.Attempt,
		Owner: o.Owner, Boot: o.Boot, Opened: now, KeyTime: o.KeyTime,
	}
	rs.byID[o.ID] = r
	rs.expiryQueue = append(rs.expiryQueue, expiryEntry{ID: o.ID, Attempt: o.Attempt, Opened: now})
	rs.openCount++
	return *r
}

// closeReceipt records the outcome of an attempt. The attempt that opened a receipt
// may still close it after it was set to unknown. A receipt that is done or released
// does not change.
func (rs *receipts) closeReceipt(now UnixMillis, c CloseReceipt) (Receipt, error) {
	r := rs.byID[c.ID]
	if r == nil {
		return rs.closeUnopened(now, c)
	}
	if r.Attempt != c.Attempt {
		return *r, fault.New(fault.InProgress, "key %q is held by attempt %s", c.ID.Key, r.Attempt)
	}
	if r.State == ReceiptDone || r.State == ReceiptReleased {
		return *r, nil
	}
	if r.State == ReceiptOpen {
		rs.openCount--
	}
	switch c.Outcome {
	case OutcomeDone:
		r.State = ReceiptDone
		r.Response = c.Response
	case OutcomeReleased:
		r.State = ReceiptReleased
	case OutcomeUnknown:
		r.State = ReceiptUnknown
	}
	return *r, nil
}

// closeUnopened handles an attempt that was released before its OpenReceipt command
// was applied. It inserts a released receipt, so that the attempt is refused if the
// command is applied later.
func (rs *receipts) closeUnopened(now UnixMillis, c CloseReceipt) (Receipt, error) {
	if c.Outcome != OutcomeReleased {
		return Receipt{}, fault.New(fault.NotFound, "no receipt for key %q", c.ID.Key)
	}
	r := rs.insert(now, OpenReceipt{ID: c.ID, Attempt: c.Attempt})
	rs.openCount--
	rs.byID[c.ID].State = ReceiptReleased
	return r, nil
}

// abandon sets the receipts that an AbandonReceipts command selects to unknown.
func (rs *receipts) abandon(a AbandonReceipts) {
	for _, r := range rs.byID {
		if r.State != ReceiptOpen || r.Owner != a.Owner || r.Boot == a.LiveBoot || r.Opened > a.OpenedUntil {
			continue
		}
		r.State = ReceiptUnknown
		rs.openCount--
	}
}

// expire drops up to maxExpirePerCommand receipts that are older than the retention
// plus MaxKeyAhead. A receipt thus outlives the validity of the timestamp in its key.
func (rs *receipts) expire(now UnixMillis) {
	age := UnixMillis((Retention + MaxKeyAhead).Milliseconds())
	for range maxExpirePerCommand {
		if len(rs.expiryQueue) == 0 || rs.expiryQueue[0].Opened+age > now {
			return
		}
		entry := rs.expiryQueue[0]
		rs.expiryQueue = rs.expiryQueue[1:]
		r := rs.byID[entry.ID]
		if r == nil || r.Attempt != entry.Attempt {
			continue // a later attempt has its own entry in the queue
		}
		if r.State == ReceiptOpen {
			rs.openCount--
		}
		if r.KeyTime == 0 && r.State != ReceiptReleased {
			rs.tombstones[tombstoneOf(entry.ID)] = struct{}{}
		}
		delete(rs.byID, entry.ID)
	}
}
