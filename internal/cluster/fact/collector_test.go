package fact

import (
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/cluster/quarantine"
	"github.com/hickoryridge/hickoryridge/internal/cluster/stream"
	"github.com/hickoryridge/hickoryridge/internal/modeltest"
)

// TestVotersRestartInTurn guards against facts that are lost when the voters start again one after the
// other and the instance that published them has ended.
func TestVotersRestartInTurn(t *testing.T) {
	now := modeltest.Start
	voters := []*Collector{NewCollector(now, 1), NewCollector(now, 2), NewCollector(now, 3)}
	batch := Batch{Streams: []stream.Begun{{Origin: stream.Origin{Service: "s", Software: "v1"}, Left: time.Minute, Keys: []stream.Key{7}}}}
	for i, target := range []ident.TargetID{"t1", "t2"} {
		batch.Evidence.Crashed = append(batch.Evidence.Crashed, quarantine.Crashed{
			Part: partsOf("dead")[0], Crash: quarantine.Crash{Target: target, Incarnation: 1}, Head: true, Age: time.Duration(i) * time.Second,
		})
	}
	voters[0].Publish(now, "i", "boot", 1, batch)
	cursors := make([]Cursor, len(voters))
	for i := 1; i < len(voters); i++ {
		b, next := voters[0].Since(now, cursors[i])
		voters[i].Merge(now, b)
		cursors[i] = next
	}
	for i := range voters {
		now = now.Add(5 * time.Second)
		voters[i] = NewCollector(now, uint64(10+i))
		from := voters[(i+1)%len(voters)]
		b, next := from.Since(now, Cursor{})
		voters[i].Merge(now, b)
		if again, _ := from.Since(now, next); !again.Empty() {
			t.Errorf("voter %d received facts twice: %+v", i, again)
		}
	}
	for i, v := range voters {
		v.Derive(now.Add(warmUpTime), silent)
		suspects, _ := v.Suspects()
		if len(suspects) != 1 || !suspects[0].Quarantined {
			t.Errorf("voter %d: suspects %+v, want the part in quarantine", i, suspects)
		}
		if _, known := v.Origin(now, 7); !known {
			t.Errorf("voter %d has no record of the stream", i)
		}
	}
}

// silent are targets that announce nothing.
func silent(quarantine.Crash) (clock.Time, bool) { return 0, false }
