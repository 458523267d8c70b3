package fact

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/cluster/quarantine"
	"github.com/hickoryridge/hickoryridge/internal/modeltest"
)

const (
	// contact is the time within which instances in touch know what one of them does.
	contact = 4 * time.Second
	// pollPause stands for the time from a change to the reply to a poll that waits for it.
	pollPause = 25 * time.Millisecond
	// pollTime is the longest time for which a voter delays the reply to a poll.
	pollTime = 1 * time.Second
	// pollTimeout is the time after which an instance turns to another voter.
	pollTimeout = 1500 * time.Millisecond
	// deadlyParts is the number of parts that crash engines.
	deadlyParts = 2
	// deadlyRequests is the number of requests that crash targets and come again, unchanged. One has no prompt,
	// one has parts that sound requests share.
	deadlyRequests = 2
)

// model simulates instances that send prompts, voters that collect facts, engines that crash, and the
// messages between instances and voters.
type model struct {
	*modeltest.Timeline
	rng       *rand.Rand
	voters    []*modelVoter
	instances []*modelInstance
	runs      uint64
	crashes   int
	requests  int                     // different requests so far
	running   map[ident.TargetID]bool // targets that an instance took for crashed
	deadly    [deadlyParts + deadlyRequests]deadlyRecord
	lost      clock.Time   // when all voters stopped at once
	refused   []clock.Time // sound requests that were refused
	sound     int
}

// deadlyRecord is what happened to the requests with one deadly part.
type deadlyRecord struct {
	crashed []clock.Time
	reached []reach
}

// reach is a request that reached a target.
type reach struct {
	at clock.Time
	by *modelInstance
}

type modelVoter struct {
	collector *Collector
	cursors   map[*modelVoter]Cursor
	stopped   bool
}

type modelInstance struct {
	id       ident.InstanceID
	boot     int
	began    clock.Time // when it started last
	outbox   Outbox
	memory   *quarantine.Memory
	voter    *modelVoter
	cutUntil clock.Time // when its targets answer it again

	seen    Mark       // of the last reply
	replied clock.Time // time of the last reply
}

func (in *modelInstance) bootID() ident.BootID { return ident.BootID(fmt.Sprint("boot", in.boot)) }

func newModel(seed uint64, instances, voters int) *model {
	m := &model{Timeline: modeltest.NewTimeline(), running: map[ident.TargetID]bool{}, rng: rand.New(rand.NewPCG(seed, 7))}
	for range voters {
		m.voters = append(m.voters, &modelVoter{})
	}
	for _, v := range m.voters {
		m.restart(v)
		m.After(0, func() { m.relay(v) })
		m.After(0, func() { m.derive(v) })
	}
	for range instances {
		m.join()
	}
	return m
}

// restart starts a voter that knows nothing.
func (m *model) restart(v *modelVoter) {
	m.runs++
	v.collector = NewCollector(m.Now, m.runs)
	v.cursors = map[*modelVoter]Cursor{}
	v.stopped = false
}

func (m *model) join() {
	id := ident.InstanceID(fmt.Sprint("i", len(m.instances)))
	in := &modelInstance{id: id, began: m.Now, memory: quarantine.NewMemory(id)}
	m.instances = append(m.instances, in)
	m.choose(in)
	m.After(0, func() { m.poll(in) })
}

func (m *model) latency() time.Duration {
	return time.Duration(500+m.rng.IntN(12_000)) * time.Microsecond
}

// choose turns an instance to a voter that runs.
func (m *model) choose(in *modelInstance) {
	in.voter = m.voters[m.rng.IntN(len(m.voters))]
	in.outbox.Repeat(m.Now)
	m.publish(in)
}

// relay reads what the other voters have received.
func (m *model) relay(v *modelVoter) {
	m.After(pollPause+m.latency(), func() { m.relay(v) })
	for _, from := range m.voters {
		if from == v || from.stopped || v.stopped {
			continue
		}
		batch, next := from.collector.Since(m.Now, v.cursors[from])
		collector := v.collector
		v.cursors[from] = next
		m.After(m.latency(), func() { collector.Merge(m.Now, batch) })
	}
}

func (m *model) derive(v *modelVoter) {
	m.After(pollPause, func() { m.derive(v) })
	if !v.stopped {
		v.collector.Derive(m.Now, m.announced)
	}
}

// tell sends the facts of an instance to its voter.
func (m *model) publish(in *modelInstance) {
	b, s := in.outbox.Take(m.Now)
	if b.Empty() {
		return
	}
	v, boot := in.voter, in.bootID()
	m.After(m.latency(), func() {
		if !v.stopped {
			v.collector.Publish(m.Now, in.id, boot, s, b)
		}
	})
}

// poll asks an instance's voter for the suspects, again and again.
func (m *model) poll(in *modelInstance) {
	v, last := in.voter, in.outbox.Last()
	m.After(m.latency(), func() { m.reply(in, v, last) })
}

// reply replies to a poll once there is something new, or after pollTime.
func (m *model) reply(in *modelInstance, v *modelVoter, last Sequence) {
	if v.stopped {
		m.After(pollTimeout, func() { m.choose(in); m.poll(in) })
		return
	}
	suspects, mark := v.collector.Suspects()
	if mark == in.seen && m.Now.Sub(in.replied) < pollTime {
		m.After(pollPause, func() { m.reply(in, v, last) })
		return
	}
	in.seen, in.replied = mark, m.Now
	missing := v.collector.Missing(in.id, in.bootID(), last)
	m.After(m.latency(), func() {
		if missing {
			in.outbox.Repeat(m.Now)
		}
		_, due := in.memory.Apply(m.Now, mark.Run, suspects)
		m.add(in, due)
		m.publish(in)
		m.poll(in)
	})
}

func (m *model) add(in *modelInstance, r quarantine.Report) {
	in.outbox.Add(m.Now, Batch{Evidence: r})
	m.publish(in)
}

// announced returns when a target announced itself last.
func (m *model) announced(c quarantine.Crash) (clock.Time, bool) {
	return m.Now, m.running[c.Target]
}

// request returns the parts of a request of its own with the given shared parts.
func (m *model) request(ids ...string) []quarantine.Part {
	m.requests++
	return append(partsOf(ids...), wholeOf(fmt.Sprint("request", m.requests)))
}

// wholeOf returns the part that stands for a whole request.
func wholeOf(digest string) quarantine.Part {
	return quarantine.Part{Service: "s", Software: "v1", ID: digest, Whole: true}
}

// refuses reports whether an instance refuses a request.
func (in *modelInstance) refuses(now clock.Time, parts []quarantine.Part) bool {
	_, _, found := in.memory.Quarantined(now, quarantine.At("", parts))
	return found
}

func partsOf(ids ...string) []quarantine.Part {
	var parts []quarantine.Part
	for _, id := range ids {
		parts = append(parts, quarantine.Part{Service: "s", Software: "v1", ID: id})
	}
	return parts
}

func (m *model) anyInstance() *modelInstance { return m.instances[m.rng.IntN(len(m.instances))] }

// sharedPart returns a part that many requests share, also those that crash targets.
func (m *model) sharedPart() string { return fmt.Sprint("first", m.rng.IntN(4)) }

// soundRequest returns a request that shares its parts with others.
func (m *model) soundRequest() []quarantine.Part {
	return m.request(m.sharedPart(), fmt.Sprint("second", m.rng.IntN(50)))
}

// sendSound sends a sound request.
func (m *model) sendSound() {
	in, parts := m.anyInstance(), m.soundRequest()
	m.sound++
	if in.refuses(m.Now, parts) {
		m.refused = append(m.refused, m.Now)
		return
	}
	m.After(time.Duration(m.rng.IntN(300))*time.Millisecond, func() {
		m.answer(in, parts)
	})
}

// answer makes a target answer a request of an instance, unless that is cut off from it.
func (m *model) answer(in *modelInstance, parts []quarantine.Part) {
	if m.Now.After(in.cutUntil) {
		m.add(in, in.memory.Began(m.Now, "sound", parts))
	}
}

// deadlyRequest returns a request that crashes the targets that it is sent to, with the index of its record.
func (m *model) deadlyRequest() (d int, parts []quarantine.Part) {
	switch d = m.rng.IntN(len(m.deadly)); d {
	case deadlyParts:
		return d, []quarantine.Part{wholeOf("plain")}
	case deadlyParts + 1:
		return d, append(partsOf("first0", "second0"), wholeOf("prompt"))
	default:
		return d, m.request(m.sharedPart(), fmt.Sprint("deadly", d))
	}
}

// sendDeadly sends a request that crashes its targets. Each instance tries it twice, and its caller tries
// two instances.
func (m *model) sendDeadly(d int, parts []quarantine.Part, attempts int, in *modelInstance) {
	if attempts == 2 {
		in = m.anyInstance()
	}
	if in.refuses(m.Now, parts) || attempts == 0 {
		return
	}
	record := &m.deadly[d]
	record.reached = append(record.reached, reach{m.Now, in})
	sent := m.Now
	m.After(time.Duration(20+m.rng.IntN(400))*time.Millisecond, func() {
		record.crashed = append(record.crashed, m.Now)
		c, head := m.crash(), d < deadlyParts
		m.After(m.latency(), func() {
			in.memory.Crashed(m.Now, parts, c, head, m.Now.Sub(sent))
			m.sendDeadly(d, parts, attempts-1, in)
		})
	})
}

// cutOff makes an instance lose all targets, which go on running, while requests are at some of them. It takes
// them for crashed at different times.
func (m *model) cutOff() {
	in := m.anyInstance()
	in.cutUntil = m.Now.Add(3 * time.Second)
	for range 8 {
		m.crashes++
		c := quarantine.Crash{Target: ident.TargetID(fmt.Sprint("t", m.crashes)), Incarnation: 1}
		m.running[c.Target] = true
		parts := m.request("rare", "rarer")
		m.After(time.Duration(m.rng.IntN(1500))*time.Millisecond, func() { in.memory.Crashed(m.Now, parts, c, true, 100*time.Millisecond) })
	}
}

// sendRare sends a sound request with parts that few others have.
func (m *model) sendRare() {
	m.sound++
	if m.anyInstance().refuses(m.Now, m.request("rare", "rarer")) {
		m.refused = append(m.refused, m.Now)
	}
}

// loseVoters stops all voters and one in three instances at once. They start again and know nothing.
func (m *model) loseVoters() {
	m.lost = m.Now
	for _, v := range m.voters {
		v.stopped = true
		m.After(time.Duration(500+m.rng.IntN(1500))*time.Millisecond, func() { m.restart(v) })
	}
	for i, in := range m.instances {
		if i%3 == 0 {
			in.outbox, in.memory, in.boot = Outbox{}, quarantine.NewMemory(in.id), in.boot+1
			in.began = m.Now
			in.seen = Mark{}
		}
	}
}

// crash ends an engine at which sound requests wait too.
func (m *model) crash() quarantine.Crash {
	m.crashes++
	c := quarantine.Crash{Target: ident.TargetID(fmt.Sprint("t", m.crashes)), Incarnation: 1}
	for range m.rng.IntN(12) {
		in, parts := m.anyInstance(), m.soundRequest()
		m.After(m.latency(), func() { in.memory.Crashed(m.Now, parts, c, m.rng.IntN(10) == 0, 100*time.Millisecond) })
	}
	return c
}

// every runs f at random intervals with the given mean.
func (m *model) every(mean time.Duration, f func()) {
	m.After(time.Duration(m.rng.ExpFloat64()*float64(mean)), func() {
		f()
		m.every(mean, f)
	})
}

// TestQuarantineAtEverySize guards against deadly parts that keep reaching engines, and against sound
// requests that are refused, while voters stop, start with nothing, and crashes come that no request
// causes.
func TestQuarantineAtEverySize(t *testing.T) {
	for name, test := range map[string]struct {
		instances, voters int
		deadly            time.Duration // mean time between requests with deadly parts
	}{
		"3 instances":                   {3, 3, 600 * time.Millisecond},
		"30 instances":                  {30, 5, 400 * time.Millisecond},
		"300 instances":                 {300, 9, 400 * time.Millisecond},
		"300 instances, many at a time": {300, 9, 70 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(8) {
				m := newModel(seed, test.instances, test.voters)
				m.every(10*time.Millisecond, m.sendSound)
				begin := 5 * time.Second
				m.After(begin, func() {
					m.every(test.deadly, func() {
						d, parts := m.deadlyRequest()
						m.sendDeadly(d, parts, 4, m.anyInstance())
					})
				})
				m.every(7*time.Second, func() { m.outage(3) })
				m.every(6*time.Second, m.stopVoter)
				m.every(5*time.Second, m.join)
				m.every(300*time.Millisecond, m.sendRare)
				m.every(9*time.Second, m.cutOff)
				m.After(35*time.Second, m.loseVoters)
				m.Run(60 * time.Second)
				m.check(t, seed, begin)
			}
		})
	}
}

// outage ends engines at about the same time.
func (m *model) outage(n int) {
	for range n {
		m.After(m.latency(), func() { m.crash() })
	}
}

// stopVoter stops a voter while more than half of them run. It starts again with nothing.
func (m *model) stopVoter() {
	running := 0
	for _, v := range m.voters {
		if !v.stopped {
			running++
		}
	}
	v := m.voters[m.rng.IntN(len(m.voters))]
	if v.stopped || 2*(running-1) <= len(m.voters) {
		return
	}
	v.stopped = true
	m.After(2*time.Second, func() { m.restart(v) })
}

// inTouch reports whether a request was sent by an instance in touch: one that had run for the contact time, and
// not in that time after the voters had started again.
func (m *model) inTouch(q reach) bool {
	return q.at.Sub(q.by.began) >= contact && (q.at.Before(m.lost) || q.at.After(m.lost.Add(2*contact)))
}

func (m *model) check(t *testing.T, seed uint64, begin time.Duration) {
	t.Helper()
	for d, r := range m.deadly {
		crashes := 5 // after which a part must be known
		if d >= deadlyParts {
			crashes = 3 // a request
		}
		if len(r.crashed) < crashes {
			t.Logf("seed %d: %d ended %d targets only", seed, d, len(r.crashed))
			continue
		}
		known := r.crashed[crashes-1].Add(contact)
		late := 0
		for _, q := range r.reached {
			if q.at.After(known) && m.inTouch(q) {
				late++
			}
		}
		if late > 3 {
			t.Errorf("seed %d: %d requests of kind %d reached targets after it must be known, at most 3 allowed", seed, late, d)
		}
		t.Logf("seed %d: kind %d ended %d targets", seed, d, len(r.crashed))
	}
	if len(m.refused) > 0 {
		t.Errorf("seed %d: %d of %d sound requests refused, first after %v", seed, len(m.refused), m.sound, m.refused[0].Sub(modeltest.Start)-begin)
	}
}
