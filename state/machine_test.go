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

// player applies commands under growing indices.
type player struct {
	t *testing.T
	m *Machine
	i quorum.Index
}

func (p *player) do(at UnixMillis, c Command) Result {
	p.t.Helper()
	c.At = at
	data, err := c.Encode()
	if err != nil {
		p.t.Fatal(err)
	}
	p.i++
	return p.m.Apply(p.i, data).(Result)
}

func open(key ident.IdempotencyKey, attempt ident.AttemptID, keyTime UnixMillis) Command {
	return Command{Open: &OpenReceipt{ID: ReceiptID{"t", "desk", key}, Digest: "d", Attempt: attempt, Owner: "i1", Boot: "b1", KeyTime: keyTime}}
}

func finish(key ident.IdempotencyKey, attempt ident.AttemptID, o Outcome) Command {
	return Command{Close: &CloseReceipt{ID: ReceiptID{"t", "desk", key}, Attempt: attempt, Outcome: o, Response: &StoredResponse{Status: 201}}}
}

// TestExpiredKeysNeverRun lets receipts expire. Their keys are refused as expired,
// by the time inside the key or by the mark it left, and never opened again.
func TestExpiredKeysNeverRun(t *testing.T) {
	start := UnixMillis(1_000_000_000_000)
	for name, keyTime := range map[string]UnixMillis{"plain key": 0, "key with a time": start} {
		for outcome := range map[Outcome]bool{OutcomeDone: true, OutcomeUnknown: true} {
			t.Run(fmt.Sprint(name, " ", outcome), func(t *testing.T) {
				p := &player{t: t, m: NewMachine()}
				if r := p.do(start, open("k", "a1", keyTime)); r.Refused {
					t.Fatal(r.Detail)
				}
				p.do(start, finish("k", "a1", outcome))
				for _, later := range []UnixMillis{day, 2 * day, 400 * day} {
					r := p.do(start+later+1, open("k", "a2", keyTime))
					kept := r.Receipt != nil && r.Receipt.Attempt == "a1"
					if !kept && (!r.Refused || r.Kind != fault.KeyExpired) {
						t.Errorf("after %v: %+v", time.Duration(later)*time.Millisecond, r)
					}
				}
				if n := p.m.Counts().Receipts; n != 0 {
					t.Errorf("%d receipts are still kept", n)
				}
			})
		}
	}
}

func TestClockNeverRunsBack(t *testing.T) {
	p := &player{t: t, m: NewMachine()}
	start := UnixMillis(1_000_000_000_000)
	p.do(start, open("k", "a1", start))
	p.do(start, finish("k", "a1", OutcomeDone))
	p.do(start+2*day, open("other", "a2", 0))
	if r := p.do(start, open("k", "a3", start)); r.Kind != fault.KeyExpired || !r.Refused {
		t.Errorf("with an earlier clock: %+v", r)
	}
}

func TestKeyFromTheFuture(t *testing.T) {
	p := &player{t: t, m: NewMachine()}
	if r := p.do(1000, open("k", "a1", 1000+day)); r.Kind != fault.KeyMalformed || !r.Refused {
		t.Errorf("%+v", r)
	}
}

// TestSnapshotKeepsEverything restores a snapshot and compares what the machine
// answers afterwards.
func TestSnapshotKeepsEverything(t *testing.T) {
	p := &player{t: t, m: NewMachine()}
	p.do(1, Command{Apply: &ApplyDocument{Number: 1, Digest: "x", Data: []byte("{}")}})
	p.do(1, Command{Apply: &ApplyDocument{Number: 2, Digest: "y", Data: []byte("{}")}})
	p.do(1, Command{Order: &OpenOrder{ID: "o1", Engine: "e1"}})
	p.do(1, open("k", "a1", 0))
	p.do(1, open("old", "a2", 0))
	p.do(1, finish("old", "a2", OutcomeDone))
	p.do(3*day, open("new", "a3", 0))
	data, err := p.m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	q := &player{t: t, m: NewMachine(), i: p.i}
	if err := q.m.Restore(data); err != nil {
		t.Fatal(err)
	}
	if fmt.Sprint(p.m.View(), p.m.Counts()) != fmt.Sprint(q.m.View(), q.m.Counts()) {
		t.Errorf("view %v %v, want %v %v", q.m.View(), q.m.Counts(), p.m.View(), p.m.Counts())
	}
	for _, c := range []Command{
		{Apply: &ApplyDocument{Number: 1, Digest: "x"}}, {Apply: &ApplyDocument{Number: 2, Digest: "z"}},
		{Order: &OpenOrder{ID: "o2", Engine: "e1"}}, open("old", "a9", 0), open("new", "a9", 0),
	} {
		a, b := p.do(3*day, c), q.do(3*day, c)
		if a.Refused != b.Refused || a.Kind != b.Kind || a.Detail != b.Detail {
			t.Errorf("%+v: %+v and %+v", c, a, b)
		}
	}
}

func TestOneOpenOrderPerEngine(t *testing.T) {
	p := &player{t: t, m: NewMachine()}
	first := p.do(1, Command{Order: &OpenOrder{ID: "o1", Engine: "e1"}})
	if first.Refused || first.Order.Fence == 0 {
		t.Fatalf("%+v", first)
	}
	if again := p.do(1, Command{Order: &OpenOrder{ID: "o1", Engine: "e1"}}); again.Refused || again.Order.Fence != first.Order.Fence {
		t.Errorf("again: %+v", again)
	}
	if other := p.do(1, Command{Order: &OpenOrder{ID: "o2", Engine: "e1"}}); !other.Refused || other.Order.ID != "o1" {
		t.Errorf("other: %+v", other)
	}
	p.do(1, Command{Settle: &SettleOrder{ID: "o1", Engine: "e1", Outcome: OrderDone}})
	if r := p.do(1, Command{Settle: &SettleOrder{ID: "o1", Engine: "e1", Outcome: OrderFailed}}); r.Refused || r.Order.Outcome != OrderDone {
		t.Errorf("settled twice: %+v", r)
	}
	next := p.do(1, Command{Order: &OpenOrder{ID: "o2", Engine: "e1"}})
	if next.Refused || next.Order.Fence <= first.Order.Fence {
		t.Errorf("next: %+v", next)
	}
}

func TestBadEntriesHarmNothing(t *testing.T) {
	m := NewMachine()
	for i, data := range [][]byte{nil, []byte("noise"), {0x80}} {
		if r := m.Apply(quorum.Index(i+1), data).(Result); !r.Refused {
			t.Errorf("entry %q was taken", data)
		}
	}
}

// TestReleaseBeforeOpening appends the release of an attempt whose opening was lost with a
// leader. The key is free for the next attempt; the late opening of the first one is not
// run.
func TestReleaseBeforeOpening(t *testing.T) {
	now := UnixMillis(1_000_000_000_000)
	p := &player{t: t, m: NewMachine()}
	p.do(now, finish("pay-1", "a1", OutcomeReleased))
	if got := p.do(now, open("pay-1", "a1", 0)); !got.Refused {
		t.Errorf("the released attempt opens: %+v", got)
	}
	got := p.do(now, open("pay-1", "a2", 0))
	if got.Refused || got.Receipt.State != ReceiptOpen || got.Receipt.Attempt != "a2" {
		t.Errorf("the next attempt: %+v", got)
	}
}
