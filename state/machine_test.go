package state

import (
	"fmt"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/quorum"
)

const day = UnixMillis(24 * 60 * 60 * 1000)

// commandLog applies commands to a machine with increasing log indexes.
type commandLog struct {
	t       *testing.T
	machine *Machine
	index   quorum.Index
}

func (log *commandLog) apply(at UnixMillis, c Command) Result {
	log.t.Helper()
	c.At = at
	data, err := c.Encode()
	if err != nil {
		log.t.Fatal(err)
	}
	log.index++
	return log.machine.Apply(log.index, data).(Result)
}

func openCommand(key ident.IdempotencyKey, attempt ident.AttemptID, keyTime UnixMillis) Command {
	return Command{Open: &OpenReceipt{ID: ReceiptID{"t", "desk", key}, Digest: "d", Attempt: attempt, Owner: "i1", Boot: "b1", KeyTime: keyTime}}
}

func closeCommand(key ident.IdempotencyKey, attempt ident.AttemptID, o Outcome) Command {
	return Command{Close: &CloseReceipt{ID: ReceiptID{"t", "desk", key}, Attempt: attempt, Outcome: o, Response: &StoredResponse{Status: 201}}}
}

// TestExpiredKeysNeverRun guards against a second execution after a receipt expires.
// The key must be refused because of its embedded timestamp or its tombstone.
func TestExpiredKeysNeverRun(t *testing.T) {
	start := UnixMillis(1_000_000_000_000)
	for name, keyTime := range map[string]UnixMillis{"key without a timestamp": 0, "key with a timestamp": start} {
		for outcome := range map[Outcome]bool{OutcomeDone: true, OutcomeUnknown: true} {
			t.Run(fmt.Sprint(name, " ", outcome), func(t *testing.T) {
				log := &commandLog{t: t, machine: NewMachine()}
				if r := log.apply(start, openCommand("k", "a1", keyTime)); r.Refused {
					t.Fatal(r.Detail)
				}
				log.apply(start, closeCommand("k", "a1", outcome))
				for _, later := range []UnixMillis{day, 2 * day, 400 * day} {
					r := log.apply(start+later+1, openCommand("k", "a2", keyTime))
					kept := r.Receipt != nil && r.Receipt.Attempt == "a1"
					if !kept && (!r.Refused || r.Kind != fault.KeyExpired) {
						t.Errorf("after %v: key was not refused as expired: %+v", time.Duration(later)*time.Millisecond, r)
					}
				}
				if n := log.machine.Counts().Receipts; n != 0 {
					t.Errorf("%d receipts were not expired", n)
				}
			})
		}
	}
}

// TestClockNeverRunsBack guards against reopening an expired key when a leader with a
// slower clock takes over.
func TestClockNeverRunsBack(t *testing.T) {
	log := &commandLog{t: t, machine: NewMachine()}
	start := UnixMillis(1_000_000_000_000)
	log.apply(start, openCommand("k", "a1", start))
	log.apply(start, closeCommand("k", "a1", OutcomeDone))
	log.apply(start+2*day, openCommand("other", "a2", 0))
	if r := log.apply(start, openCommand("k", "a3", start)); r.Kind != fault.KeyExpired || !r.Refused {
		t.Errorf("command with an earlier time: key was not refused as expired: %+v", r)
	}
}

func TestKeyFromTheFuture(t *testing.T) {
	log := &commandLog{t: t, machine: NewMachine()}
	if r := log.apply(1000, openCommand("k", "a1", 1000+day)); r.Kind != fault.KeyMalformed || !r.Refused {
		t.Errorf("key with a future timestamp was not refused as malformed: %+v", r)
	}
}

// TestSnapshotKeepsEverything guards against state that is missing from snapshots. A
// machine restored from a snapshot must return the same view, counts and command
// results as the original.
func TestSnapshotKeepsEverything(t *testing.T) {
	log := &commandLog{t: t, machine: NewMachine()}
	log.apply(1, Command{Apply: &ApplyDocument{Number: 1, Digest: "x", Data: []byte("{}")}})
	log.apply(1, Command{Apply: &ApplyDocument{Number: 2, Digest: "y", Data: []byte("{}")}})
	log.apply(1, Command{Order: &OpenOrder{ID: "o1", Engine: "e1"}})
	log.apply(1, openCommand("k", "a1", 0))
	log.apply(1, openCommand("old", "a2", 0))
	log.apply(1, closeCommand("old", "a2", OutcomeDone))
	log.apply(3*day, openCommand("new", "a3", 0))
	data, err := log.machine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := &commandLog{t: t, machine: NewMachine(), index: log.index}
	if err := restored.machine.Restore(data); err != nil {
		t.Fatal(err)
	}
	if fmt.Sprint(log.machine.View(), log.machine.Counts()) != fmt.Sprint(restored.machine.View(), restored.machine.Counts()) {
		t.Errorf("view %v %v, want %v %v", restored.machine.View(), restored.machine.Counts(), log.machine.View(), log.machine.Counts())
	}
	for _, c := range []Command{
		{Apply: &ApplyDocument{Number: 1, Digest: "x"}}, {Apply: &ApplyDocument{Number: 2, Digest: "z"}},
		{Order: &OpenOrder{ID: "o2", Engine: "e1"}}, openCommand("old", "a9", 0), openCommand("new", "a9", 0),
	} {
		a, b := log.apply(3*day, c), restored.apply(3*day, c)
		if a.Refused != b.Refused || a.Kind != b.Kind || a.Detail != b.Detail {
			t.Errorf("command %+v: got result %+v from the original and %+v from the restored machine", c, a, b)
		}
	}
}

func TestOneOpenOrderPerEngine(t *testing.T) {
	log := &commandLog{t: t, machine: NewMachine()}
	first := log.apply(1, Command{Order: &OpenOrder{ID: "o1", Engine: "e1"}})
	if first.Refused || first.Order.Fence == 0 {
		t.Fatalf("%+v", first)
	}
	if again := log.apply(1, Command{Order: &OpenOrder{ID: "o1", Engine: "e1"}}); again.Refused || again.Order.Fence != first.Order.Fence {
		t.Errorf("same order opened again: %+v", again)
	}
	if other := log.apply(1, Command{Order: &OpenOrder{ID: "o2", Engine: "e1"}}); !other.Refused || other.Order.ID != "o1" {
		t.Errorf("second order opened while the first is open: %+v", other)
	}
	log.apply(1, Command{Settle: &SettleOrder{ID: "o1", Engine: "e1", Outcome: OrderDone}})
	if r := log.apply(1, Command{Settle: &SettleOrder{ID: "o1", Engine: "e1", Outcome: OrderFailed}}); r.Refused || r.Order.Outcome != OrderDone {
		t.Errorf("order settled twice: %+v", r)
	}
	next := log.apply(1, Command{Order: &OpenOrder{ID: "o2", Engine: "e1"}})
	if next.Refused || next.Order.Fence <= first.Order.Fence {
		t.Errorf("order opened after the first was settled: %+v", next)
	}
}

func TestInvalidEntriesAreRefused(t *testing.T) {
	m := NewMachine()
	for i, data := range [][]byte{nil, []byte("noise"), {0x80}} {
		if r := m.Apply(quorum.Index(i+1), data).(Result); !r.Refused {
			t.Errorf("entry %q was not refused", data)
		}
	}
}

// TestReleaseBeforeOpening guards against two executions when the OpenReceipt command
// of an attempt is delayed by a change of leader and applied after its release. The
// key is free for the next attempt, and the released attempt must not open it.
func TestReleaseBeforeOpening(t *testing.T) {
	now := UnixMillis(1_000_000_000_000)
	log := &commandLog{t: t, machine: NewMachine()}
	log.apply(now, closeCommand("pay-1", "a1", OutcomeReleased))
	if got := log.apply(now, openCommand("pay-1", "a1", 0)); !got.Refused {
		t.Errorf("the released attempt opened the key: %+v", got)
	}
	got := log.apply(now, openCommand("pay-1", "a2", 0))
	if got.Refused || got.Receipt.State != ReceiptOpen || got.Receipt.Attempt != "a2" {
		t.Errorf("the next attempt did not open the key: %+v", got)
	}
}
