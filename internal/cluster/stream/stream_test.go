package stream

import (
	"fmt"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/internal/clock"
)

const start = clock.Time(time.Hour)

var (
	older = Origin{Service: "s", Software: "v1"}
	newer = Origin{Service: "s", Software: "v2"}
)

// TestMemory shows for how long a stream is remembered, and by which id.
func TestMemory(t *testing.T) {
	m := NewMemory(start)
	m.Record(start, Begun{older, 10 * time.Second, []Key{KeyOf("a"), KeyOf("b")}})
	m.Record(start, Begun{newer, 10 * time.Second, []Key{KeyOf("c")}})
	m.Record(start, Begun{newer, 0, []Key{KeyOf("gone")}})
	m.Record(start.Add(5*time.Second), Begun{older, 10 * time.Second, []Key{KeyOf("b")}}) // taken up
	for name, test := range map[string]struct {
		after time.Duration
		id    string
		want  Origin
		known bool
	}{
		"first":                 {time.Second, "a", older, true},
		"other version":         {time.Second, "c", newer, true},
		"expired when recorded": {time.Second, "gone", Origin{}, false},
		"never recorded":        {time.Second, "x", Origin{}, false},
		"expired":               {10 * time.Second, "a", Origin{}, false},
		"kept longer":           {14 * time.Second, "b", older, true},
		"expired in the end":    {15 * time.Second, "b", Origin{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			got, known := m.Find(start.Add(test.after), KeyOf(test.id))
			if got != test.want || known != test.known {
				t.Errorf("found %+v, %v, want %+v, %v", got, known, test.want, test.known)
			}
		})
	}
}

// TestMemoryIsBounded guards against memory that grows with the streams, at the planned peak of 5,100 a
// second and beyond it. The newest streams stay known.
func TestMemoryIsBounded(t *testing.T) {
	m := NewMemory(start)
	now := start
	for n := range 30 * 5100 {
		now = start.Add(time.Duration(n) * time.Second / 5100)
		m.Record(now, Begun{older, MinRetention, []Key{Key(n)}})
	}
	if kept := m.Len(); kept < 9*5100 || kept > 11*5100 {
		t.Errorf("%d streams kept after 30 s at 5,100 a second, want those of the last 10 s", kept)
	}
	for n := range 3 * maxKept {
		m.Record(now, Begun{newer, time.Hour, []Key{Key(1_000_000 + n)}})
	}
	if kept := m.Len(); kept > maxKept {
		t.Errorf("%d streams kept, want at most %d", kept, maxKept)
	}
	if _, known := m.Find(now, Key(1_000_000+3*maxKept-1)); !known {
		t.Error("the newest stream is not known")
	}
}

// TestCovers shows from when on a memory that has just started would know a stream.
func TestCovers(t *testing.T) {
	m := NewMemory(start)
	if m.Covers(start.Add(9*time.Second), 10*time.Second) || !m.Covers(start.Add(10*time.Second), 10*time.Second) {
		t.Error("a memory covers the time since its start only")
	}
}

func ExampleRetention() {
	fmt.Println(Retention(3*time.Second), Retention(time.Minute))
	// Output: 10s 2m0s
}
