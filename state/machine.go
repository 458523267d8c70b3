// Package state implements the replicated state: the desired document, the receipts
// of at-most-once requests, the orders to engines, and the duties of one instance at a time.
//
// A receipt records the single execution of a request under its idempotency key. An
// order requests a change of configuration of an engine.
//
// Machine applies the commands of the log. Every replica applies the same commands in
// the same order, so the package reads no clock and uses no random numbers. The
// current time is the largest wall-clock time of any command so far. It therefore
// never decreases, and a leader with a fast clock can only make keys expire early,
// in which case they are refused.
package state

import (
	"maps"
	"slices"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/quorum"
)

// Version orders views. It is the log index of the command that created the view.
type Version uint64

// View is the part of the replicated state that every instance needs to serve
// requests.
type View struct {
	Version  Version              `msgpack:"version"`
	Number   ident.DocumentNumber `msgpack:"number"`
	Digest   ident.Digest         `msgpack:"digest"`
	Document []byte               `msgpack:"document"`
	Draining []ident.TargetID     `msgpack:"draining"` // engines with an open order
}

// Machine is the replicated state machine. Its methods are safe for concurrent use.
type Machine struct {
	mu        sync.RWMutex
	clock     UnixMillis
	version   Version
	documents *documents
	receipts  *receipts
	orders    *orders
	duties    *duties
	changed   chan struct{} // closed and replaced when the view changes
}

var _ quorum.StateMachine = (*Machine)(nil)

// NewMachine returns a machine with an empty state.
func NewMachine() *Machine {
	m := &Machine{changed: make(chan struct{})}
	m.reset()
	return m
}

func (m *Machine) reset() {
	m.clock = 0
	m.version = 0
	m.documents = newDocuments()
	m.receipts = newReceipts()
	m.orders = newOrders()
	m.duties = newDuties()
}

// Apply executes one command and returns its Result.
func (m *Machine) Apply(i quorum.Index, data []byte) any {
	var c Command
	if err := msgpack.Unmarshal(data, &c); err != nil {
		return refusal(fault.New(fault.BadRequest, "entry %d: cannot decode command: %v", i, err))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.clock = max(m.clock, c.At)
	m.receipts.expire(m.clock)
	switch {
	case c.Apply != nil:
		return m.applyDocument(i, *c.Apply)
	case c.Open != nil:
		return receiptResult(m.receipts.openReceipt(m.clock, *c.Open))
	case c.Close != nil:
		return receiptResult(m.receipts.closeReceipt(m.clock, *c.Close))
	case c.Abandon != nil:
		m.receipts.abandon(*c.Abandon)
		return Result{}
	case c.Order != nil:
		return m.openOrder(i, *c.Order)
	case c.Settle != nil:
		return m.settleOrder(i, *c.Settle)
	case c.Claim != nil:
		claim := m.duties.claimDuties(m.clock, ident.FencingToken(i), *c.Claim)
		return Result{Claim: &claim}
	case c.Decide != nil:
		return decisionResult(m.duties.decide(m.clock, *c.Decide))
	case c.Done != nil:
		return decisionResult(m.duties.closeDecision(*c.Done))
	default:
		return refusal(fault.New(fault.BadRequest, "entry %d: command has no operation", i))
	}
}

func receiptResult(r Receipt, err error) Result {
	if err != nil {
		result := refusal(err)
		result.Receipt = &r
		return result
	}
	return Result{Receipt: &r}
}

func (m *Machine) applyDocument(i quorum.Index, a ApplyDocument) Result {
	changed, err := m.documents.apply(a)
	if err != nil {
		return refusal(err)
	}
	if changed {
		m.setVersion(i)
	}
	return Result{Applied: &AppliedDocument{
		Number: a.Number, Digest: a.Digest, Current: m.documents.number, Version: m.version,
	}}
}

func (m *Machine) openOrder(i quorum.Index, o OpenOrder) Result {
	order, err := m.orders.openOrder(m.clock, ident.FencingToken(i), o)
	if err != nil {
		result := refusal(err)
		result.Order = &order
		return result
	}
	m.setVersion(i)
	return Result{Order: &order}
}

func (m *Machine) settleOrder(i quorum.Index, s SettleOrder) Result {
	order, err := m.orders.settle(s)
	if err != nil {
		return refusal(err)
	}
	m.setVersion(i)
	return Result{Order: &order}
}

func (m *Machine) setVersion(i quorum.Index) {
	m.version = Version(i)
	close(m.changed)
	m.changed = make(chan struct{})
}

// Changed returns a channel that is closed once the view is newer than v. If it is
// newer already, the channel is closed on return.
func (m *Machine) Changed(v Version) <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.version > v {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	return m.changed
}

// View returns the current view.
func (m *Machine) View() View {
	m.mu.RLock()
	defer m.mu.RUnlock()
	draining := slices.Sorted(maps.Keys(m.orders.open))
	return View{
		Version: m.version, Number: m.documents.number, Digest: m.documents.digest,
		Document: m.documents.data, Draining: draining,
	}
}

// Version returns the version of the current view.
func (m *Machine) Version() Version {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.version
}

// Receipt returns a copy of a receipt. It returns false if there is none.
func (m *Machine) Receipt(id ReceiptID) (Receipt, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	r, ok := m.receipts.byID[id]
	if !ok {
		return Receipt{}, false
	}
	return *r, true
}

// OpenReceipts returns copies of the open receipts.
func (m *Machine) OpenReceipts() []Receipt {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.receipts.openCount == 0 {
		return nil
	}
	var open []Receipt
	for _, r := range m.receipts.byID {
		if r.State == ReceiptOpen {
			open = append(open, *r)
		}
	}
	return open
}

// Counts holds the numbers of receipts, open receipts and tombstones.
type Counts struct {
	Receipts   int `json:"receipts"`
	Open       int `json:"open"`
	Tombstones int `json:"marks"`
}

// Counts returns the numbers of receipts, open receipts and tombstones.
func (m *Machine) Counts() Counts {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return Counts{Receipts: len(m.receipts.byID), Open: m.receipts.openCount, Tombstones: len(m.receipts.tombstones)}
}

// Orders returns copies of the open orders and of the last settled order of each
// engine, both sorted by engine.
func (m *Machine) Orders() (open, settled []Order) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return copyOrders(m.orders.open), copyOrders(m.orders.lastSettled)
}

func copyOrders(from map[ident.TargetID]*Order) []Order {
	out := make([]Order, 0, len(from))
	for _, engine := range slices.Sorted(maps.Keys(from)) {
		out = append(out, *from[engine])
	}
	return out
}

// machineSnapshot is the encoding of the state in a snapshot.
type machineSnapshot struct {
	Clock         UnixMillis                            `msgpack:"clock"`
	Version       Version                               `msgpack:"version"`
	Number        ident.DocumentNumber                  `msgpack:"number"`
	Digest        ident.Digest                          `msgpack:"digest"`
	Document      []byte                                `msgpack:"document"`
	PastDigests   map[ident.DocumentNumber]ident.Digest `msgpack:"past"`
	Receipts      []Receipt                             `msgpack:"receipts"`
	Queue         []expiryEntry                         `msgpack:"queue"`
	Tombstones    []tombstone                           `msgpack:"marks"`
	OpenOrders    map[ident.TargetID]*Order             `msgpack:"open"`
	SettledOrders map[ident.TargetID]*Order             `msgpack:"last"`
	Claim         *DutyClaim                            `msgpack:"claim,omitempty"` // nil if nobody has claimed the duties
	Subjects      map[Subject]*subjectState             `msgpack:"subjects,omitempty"`
}

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	snapshot := machineSnapshot{
		Clock: m.clock, Version: m.version, Number: m.documents.number, Digest: m.documents.digest,
		Document: m.documents.data, PastDigests: m.documents.pastDigests, Queue: m.receipts.expiryQueue,
		OpenOrders: m.orders.open, SettledOrders: m.orders.lastSettled, Subjects: m.duties.subjects,
	}
	if m.duties.claim.Generation > 0 {
		snapshot.Claim = &m.duties.claim
	}
	for _, r := range m.receipts.byID {
		snapshot.Receipts = append(snapshot.Receipts, *r)
	}
	for k := range m.receipts.tombstones {
		snapshot.Tombstones = append(snapshot.Tombstones, k)
	}
	data, err := msgpack.Marshal(snapshot)
	return data, fault.Wrap(fault.Internal, err)
}

// Restore replaces the state with a snapshot. Nil data means the empty state.
func (m *Machine) Restore(data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reset()
	if len(data) == 0 {
		return nil
	}
	var snapshot machineSnapshot
	if err := msgpack.Unmarshal(data, &snapshot); err != nil {
		return fault.Wrap(fault.Corrupt, err)
	}
	m.clock = snapshot.Clock
	m.version = snapshot.Version
	m.documents.number = snapshot.Number
	m.documents.digest = snapshot.Digest
	m.documents.data = snapshot.Document
	maps.Copy(m.documents.pastDigests, snapshot.PastDigests)
	m.receipts.expiryQueue = snapshot.Queue
	for _, r := range snapshot.Receipts {
		m.receipts.byID[r.ID] = &r
		if r.State == ReceiptOpen {
			m.receipts.openCount++
		}
	}
	for _, k := range snapshot.Tombstones {
		m.receipts.tombstones[k] = struct{}{}
	}
	maps.Copy(m.orders.open, snapshot.OpenOrders)
	maps.Copy(m.orders.lastSettled, snapshot.SettledOrders)
	maps.Copy(m.duties.subjects, snapshot.Subjects)
	if snapshot.Claim != nil {
		m.duties.claim = *snapshot.Claim
	}
	return nil
}
