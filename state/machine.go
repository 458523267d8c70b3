// Package state holds the replicated aggregates: the desired document, the
// receipts of requests that may not be repeated, and the orders to engines.
//
// Machine applies the commands of the log. Every replica applies the same
// commands in the same order, so nothing here reads a clock or draws a random
// number: time is the largest wall clock that a command carried. The clock
// therefore never runs backwards, and a leader whose clock runs ahead can only
// make keys expire early, which refuses them.
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

// Version orders the views that instances serve by. It is the log index of the
// change that made the view.
type Version uint64

// View is what every instance needs of the replicated state to serve requests.
type View struct {
	Version  Version              `msgpack:"version"`
	Number   ident.DocumentNumber `msgpack:"number"`
	Digest   ident.Digest         `msgpack:"digest"`
	Document []byte               `msgpack:"document"`
	Draining []ident.TargetID     `msgpack:"draining"` // engines with an open order
}

// Machine is the replicated state. Its methods are safe for concurrent use.
type Machine struct {
	mu        sync.RWMutex
	clock     UnixMillis
	version   Version
	documents *documents
	receipts  *receipts
	orders    *orders
	changed   chan struct{} // closed and replaced when the view changes
}

var _ quorum.StateMachine = (*Machine)(nil)

// NewMachine returns the empty state.
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
}

// Apply executes one command and returns its Result.
func (m *Machine) Apply(i quorum.Index, data []byte) any {
	var c Command
	if err := msgpack.Unmarshal(data, &c); err != nil {
		return refuse(fault.New(fault.BadRequest, "entry %d: not a command: %v", i, err))
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
	default:
		return refuse(fault.New(fault.BadRequest, "entry %d: empty command", i))
	}
}

func receiptResult(r Receipt, err error) Result {
	if err != nil {
		result := refuse(err)
		result.Receipt = &r
		return result
	}
	return Result{Receipt: &r}
}

func (m *Machine) applyDocument(i quorum.Index, a ApplyDocument) Result {
	changed, err := m.documents.apply(a)
	if err != nil {
		return refuse(err)
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
		result := refuse(err)
		result.Order = &order
		return result
	}
	m.setVersion(i)
	return Result{Order: &order}
}

func (m *Machine) settleOrder(i quorum.Index, s SettleOrder) Result {
	order, err := m.orders.settle(s)
	if err != nil {
		return refuse(err)
	}
	m.setVersion(i)
	return Result{Order: &order}
}

func (m *Machine) setVersion(i quorum.Index) {
	m.version = Version(i)
	close(m.changed)
	m.changed = make(chan struct{})
}

// Changed returns a channel that is closed when the view becomes newer than v. It
// is closed already if the view is.
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

// View returns the newest view.
func (m *Machine) View() View {
	m.mu.RLock()
	defer m.mu.RUnlock()
	draining := slices.Sorted(maps.Keys(m.orders.open))
	return View{
		Version: m.version, Number: m.documents.number, Digest: m.documents.digest,
		Document: m.documents.data, Draining: draining,
	}
}

// Version returns the newest view's version.
func (m *Machine) Version() Version {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.version
}

// Receipt returns a copy of a receipt.
func (m *Machine) Receipt(id ReceiptID) (Receipt, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	r, ok := m.receipts.byID[id]
	if !ok {
		return Receipt{}, false
	}
	return *r, true
}

// OpenReceipts returns copies of the receipts that are open.
func (m *Machine) OpenReceipts() []Receipt {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.receipts.open == 0 {
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

// Counts tells the sizes of the receipts aggregate.
type Counts struct {
	Receipts   int `json:"receipts"`
	Open       int `json:"open"`
	Tombstones int `json:"marks"`
}

// Counts returns the sizes of the receipts aggregate.
func (m *Machine) Counts() Counts {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return Counts{Receipts: len(m.receipts.byID), Open: m.receipts.open, Tombstones: len(m.receipts.marks)}
}

// Orders returns copies of the open orders and of each engine's last settled one.
func (m *Machine) Orders() (open, settled []Order) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return copies(m.orders.open), copies(m.orders.last)
}

func copies(from map[ident.TargetID]*Order) []Order {
	out := make([]Order, 0, len(from))
	for _, engine := range slices.Sorted(maps.Keys(from)) {
		out = append(out, *from[engine])
	}
	return out
}

// image is the form of the state in a snapshot.
type image struct {
	Clock    UnixMillis                            `msgpack:"clock"`
	Version  Version                               `msgpack:"version"`
	Number   ident.DocumentNumber                  `msgpack:"number"`
	Digest   ident.Digest                          `msgpack:"digest"`
	Document []byte                                `msgpack:"document"`
	Past     map[ident.DocumentNumber]ident.Digest `msgpack:"past"`
	Receipts []Receipt                             `msgpack:"receipts"`
	Queue    []queued                              `msgpack:"queue"`
	Marks    []mark                                `msgpack:"marks"`
	Open     map[ident.TargetID]*Order             `msgpack:"open"`
	Last     map[ident.TargetID]*Order             `msgpack:"last"`
}

// Snapshot returns the whole state as bytes.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	img := image{
		Clock: m.clock, Version: m.version, Number: m.documents.number, Digest: m.documents.digest,
		Document: m.documents.data, Past: m.documents.past, Queue: m.receipts.queue,
		Open: m.orders.open, Last: m.orders.last,
	}
	for _, r := range m.receipts.byID {
		img.Receipts = append(img.Receipts, *r)
	}
	for k := range m.receipts.marks {
		img.Marks = append(img.Marks, k)
	}
	data, err := msgpack.Marshal(img)
	return data, fault.Wrap(fault.Internal, err)
}

// Restore replaces the state by a snapshot's. Nil data means the empty state.
func (m *Machine) Restore(data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reset()
	if len(data) == 0 {
		return nil
	}
	var img image
	if err := msgpack.Unmarshal(data, &img); err != nil {
		return fault.Wrap(fault.Corrupt, err)
	}
	m.clock = img.Clock
	m.version = img.Version
	m.documents.number = img.Number
	m.documents.digest = img.Digest
	m.documents.data = img.Document
	maps.Copy(m.documents.past, img.Past)
	m.receipts.queue = img.Queue
	for _, r := range img.Receipts {
		m.receipts.byID[r.ID] = &r
		if r.State == ReceiptOpen {
			m.receipts.open++
		}
	}
	for _, k := range img.Marks {
		m.receipts.marks[k] = struct{}{}
	}
	maps.Copy(m.orders.open, img.Open)
	maps.Copy(m.orders.last, img.Last)
	return nil
}
