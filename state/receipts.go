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
	// Retention is how long a closed receipt keeps its answer.
	Retention = 24 * time.Hour
	// MaxKeyAhead is how far the time inside a key may lie in the future.
	MaxKeyAhead = 5 * time.Minute
	// MaxOpenTime is how long a receipt may stay open before it becomes unknown.
	MaxOpenTime = 40 * time.Minute
	// expireBatch bounds the receipts that one command expires.
	expireBatch = 64
)

// ReceiptState is the state of a receipt.
type ReceiptState string

// The states of receipts.
const (
	ReceiptOpen     ReceiptState = "open"
	ReceiptDone     ReceiptState = "done"
	ReceiptReleased ReceiptState = "released"
	ReceiptUnknown  ReceiptState = "unknown"
)

// Receipt records what is known of the one run of a request that may not be
// repeated.
type Receipt struct {
	ID       ReceiptID        `msgpack:"id"`
	Digest   ident.Digest     `msgpack:"digest"` // empty if the key was released before it was opened
	State    ReceiptState     `msgpack:"state"`
	Attempt  ident.AttemptID  `msgpack:"attempt"`
	Owner    ident.InstanceID `msgpack:"owner"`
	Boot     ident.BootID     `msgpack:"boot"`
	Opened   UnixMillis       `msgpack:"opened"`
	KeyTime  UnixMillis       `msgpack:"keytime"`
	Response *StoredResponse  `msgpack:"answer,omitempty"`
}

// Claim names the attempt that holds a key.
type Claim struct {
	ID      ReceiptID       `msgpack:"id"`
	Attempt ident.AttemptID `msgpack:"attempt"`
}

// mark is the digest of a receipt's id. It stays when the receipt of a key
// without a time expires, so that the key never runs again.
type mark [16]byte

func markOf(id ReceiptID) mark {
	sum := sha256.Sum256(fmt.Appendf(nil, "%q %q %q", id.Tenant, id.Service, id.Key))
	return mark(sum[:16])
}

// receipts is the aggregate of all receipts. Its rules:
//
//   - A key is open for at most one attempt, and only a released attempt frees it.
//   - Only the owner's attempt closes a receipt as done or released; anyone may
//     declare the receipt of a dead run unknown.
//   - An expired key is refused for ever: by its own time or by its mark.
type receipts struct {
	byID  map[ReceiptID]*Receipt
	queue []queued // in the order of opening, for expiry
	marks map[mark]struct{}
	open  int
}

type queued struct {
	ID      ReceiptID       `msgpack:"id"`
	Attempt ident.AttemptID `msgpack:"attempt"`
	Opened  UnixMillis      `msgpack:"opened"`
}

func newReceipts() *receipts {
	return &receipts{byID: map[ReceiptID]*Receipt{}, marks: map[mark]struct{}{}}
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
		return *r, fault.New(fault.KeyReused, "key %q belongs to another request", o.ID.Key)
	}
	switch r.State {
	case ReceiptOpen:
		if r.Attempt == o.Attempt {
			return *r, nil // the same proposal, appended twice
		}
		return *r, fault.New(fault.InProgress, "key %q is being run by %s", o.ID.Key, r.Owner)
	case ReceiptDone:
		return *r, nil
	case ReceiptReleased:
		if r.Attempt == o.Attempt {
			return *r, fault.New(fault.InProgress, "attempt %s was given up", o.Attempt)
		}
		return rs.insert(now, o), nil
	default:
		return *r, fault.New(fault.OutcomeUnknown, "the outcome of key %q is unknown; it is not run again", o.ID.Key)
	}
}

func (rs *receipts) checkKey(now UnixMillis, o OpenReceipt) error {
	if _, marked := rs.marks[markOf(o.ID)]; marked {
		return fault.New(fault.KeyExpired, "key %q has expired; its outcome is not kept", o.ID.Key)
	}
	if o.KeyTime == 0 {
		return nil
	}
	if o.KeyTime > now+UnixMillis(MaxKeyAhead.Milliseconds()) {
		return fault.New(fault.KeyMalformed, "the time inside key %q lies in the future", o.ID.Key)
	}
	if o.KeyTime+UnixMillis(Retention.Milliseconds()) <= now {
		return fault.New(fault.KeyExpired, "key %q has expired; its outcome is not kept", o.ID.Key)
	}
	return nil
}

func (rs *receipts) insert(now UnixMillis, o OpenReceipt) Receipt {
	r := &Receipt{
		ID: o.ID, Digest: o.Digest, State: ReceiptOpen, Attempt: o.Attempt,
		Owner: o.Owner, Boot: o.Boot, Opened: now, KeyTime: o.KeyTime,
	}
	rs.byID[o.ID] = r
	rs.queue = append(rs.queue, queued{ID: o.ID, Attempt: o.Attempt, Opened: now})
	rs.open++
	return *r
}

// closeReceipt ends an attempt. An unknown receipt may still learn its answer
// from its owner; nothing changes a done one.
func (rs *receipts) closeReceipt(now UnixMillis, c CloseReceipt) (Receipt, error) {
	r := rs.byID[c.ID]
	if r == nil {
		return rs.closeAbsent(now, c)
	}
	if r.Attempt != c.Attempt {
		return *r, fault.New(fault.InProgress, "key %q belongs to attempt %s", c.ID.Key, r.Attempt)
	}
	if r.State == ReceiptDone || r.State == ReceiptReleased {
		return *r, nil
	}
	if r.State == ReceiptOpen {
		rs.open--
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

// closeAbsent handles an attempt that was given up before its opening was
// appended. The opening must find it closed if it still comes.
func (rs *receipts) closeAbsent(now UnixMillis, c CloseReceipt) (Receipt, error) {
	if c.Outcome != OutcomeReleased {
		return Receipt{}, fault.New(fault.NotFound, "no receipt for key %q", c.ID.Key)
	}
	r := rs.insert(now, OpenReceipt{ID: c.ID, Attempt: c.Attempt})
	rs.open--
	rs.byID[c.ID].State = ReceiptReleased
	return r, nil
}

func (rs *receipts) abandon(a AbandonReceipts) {
	for _, r := range rs.byID {
		if r.State != ReceiptOpen || r.Owner != a.Owner || r.Boot == a.LiveBoot || r.Opened > a.OpenedUntil {
			continue
		}
		r.State = ReceiptUnknown
		rs.open--
	}
}

// expire drops what is older than the retention. It does a bounded amount of
// work, so that no command is slow.
func (rs *receipts) expire(now UnixMillis) {
	age := UnixMillis((Retention + MaxKeyAhead).Milliseconds())
	for range expireBatch {
		if len(rs.queue) == 0 || rs.queue[0].Opened+age > now {
			return
		}
		q := rs.queue[0]
		rs.queue = rs.queue[1:]
		r := rs.byID[q.ID]
		if r == nil || r.Attempt != q.Attempt {
			continue // a later attempt has its own place in the queue
		}
		if r.State == ReceiptOpen {
			rs.open--
		}
		if r.KeyTime == 0 && r.State != ReceiptReleased {
			rs.marks[markOf(q.ID)] = struct{}{}
		}
		delete(rs.byID, q.ID)
	}
}
