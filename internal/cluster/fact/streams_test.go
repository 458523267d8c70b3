package fact

import (
	"fmt"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/cluster/stream"
	"github.com/hickoryridge/hickoryridge/internal/modeltest"
)

// streamLife is the longest time that a stream of the model lasts.
const streamLife = 3 * time.Second

// modelStream is a stream that broke off and is taken up.
type modelStream struct {
	id      string
	origin  stream.Origin
	began   clock.Time
	takenUp bool
	known   bool // a voter knew its origin
	wrong   bool // a voter told another origin
}

// streamModel adds streams to the model: instances begin them at engines of two versions, die, all at
// once too, and callers take the streams up at other instances.
type streamModel struct {
	*model
	streams []*modelStream
	deaths  []clock.Time
}

// begin begins a stream at an instance. It breaks off when the instance dies, or by itself.
func (m *streamModel) begin() {
	in := m.instances[m.rng.IntN(len(m.instances))]
	s := &modelStream{
		id: fmt.Sprint("s", len(m.streams)), began: m.Now,
		origin: stream.Origin{Service: "s", Software: ident.SoftwareVersion(fmt.Sprint("v", 1+m.rng.IntN(2)))},
	}
	m.streams = append(m.streams, s)
	in.outbox.Add(m.Now, Batch{Streams: []stream.Begun{{Origin: s.origin, Left: stream.Retention(streamLife), Keys: []stream.Key{stream.KeyOf(s.id)}}}})
	m.After(10*time.Millisecond, func() {
		if m.alive(in) {
			m.publish(in)
		}
	})
	m.After(time.Duration(m.rng.Int64N(int64(streamLife))), func() { m.takeUp(s) })
}

func (m *streamModel) alive(in *modelInstance) bool {
	for _, other := range m.instances {
		if other == in {
			return true
		}
	}
	return false
}

// takeUp asks a voter for a stream's origin, and all of them after a pause.
func (m *streamModel) takeUp(s *modelStream) {
	s.takenUp = true
	v := m.voters[m.rng.IntN(len(m.voters))]
	m.After(m.latency(), func() {
		if m.ask(v, s) {
			return
		}
		m.After(60*time.Millisecond, func() {
			for _, v := range m.voters {
				m.ask(v, s)
			}
		})
	})
}

func (m *streamModel) ask(v *modelVoter, s *modelStream) bool {
	if v.stopped {
		return false
	}
	origin, known := v.collector.Origin(m.Now, stream.KeyOf(s.id))
	s.known = s.known || known
	s.wrong = s.wrong || known && origin != s.origin
	return known
}

// replaceAll ends all instances at the same moment. Others start.
func (m *streamModel) replaceAll() {
	n := len(m.instances)
	m.instances = nil
	m.deaths = append(m.deaths, m.Now)
	for range n {
		m.join()
	}
}

// TestStreamsAtEverySize guards against streams whose origin is forgotten or mistaken, while all instances
// die at the same moment, again and again, and voters stop and start with nothing.
func TestStreamsAtEverySize(t *testing.T) {
	for name, test := range map[string]struct {
		instances, voters int
		rate              time.Duration // mean time between streams
	}{
		"3 instances":   {3, 3, 20 * time.Millisecond},
		"30 instances":  {30, 5, 5 * time.Millisecond},
		"300 instances": {300, 9, 2 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(5) {
				m := &streamModel{model: newModel(seed, test.instances, test.voters)}
				m.every(test.rate, m.begin)
				m.every(5*time.Second, m.replaceAll)
				m.every(4*time.Second, m.stopVoter)
				m.Run(30 * time.Second)
				m.check(t, seed)
			}
		})
	}
}

// check checks that no origin is mistaken, and that at least half of the streams are known, among those of all
// instances as well as among those that began within the last second before all instances died.
func (m *streamModel) check(t *testing.T, seed uint64) {
	t.Helper()
	var all, cut struct{ taken, known int }
	for _, s := range m.streams {
		if s.wrong {
			t.Errorf("seed %d: stream %s has another origin at a voter", seed, s.id)
		}
		if !s.takenUp {
			continue
		}
		all.taken++
		if s.known {
			all.known++
		}
		for _, at := range m.deaths {
			if before := at.Sub(s.began); before >= 0 && before < time.Second {
				cut.taken++
				if s.known {
					cut.known++
				}
			}
		}
	}
	if 2*all.known < all.taken || 2*cut.known < cut.taken || all.taken == 0 {
		t.Errorf("seed %d: %d of %d streams known, of those cut by the death of all instances %d of %d; want at least half", seed, all.known, all.taken, cut.known, cut.taken)
	}
	t.Logf("seed %d: %d of %d streams known, %d of %d cut by the death of all instances; %v simulated", seed, all.known, all.taken, cut.known, cut.taken, m.Now.Sub(modeltest.Start))
}
