package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

const (
	// generationTime is half of the time for which an instance remembers answers.
	generationTime = 1 * time.Minute
	// maxAnswered bounds the parts that are remembered in one generation.
	maxAnswered = 8192
	// reportInterval is the shortest time between two reports of answers on the same part, unless
	// their number has doubled.
	reportInterval = 1 * time.Second
	// clearedCount is the number of answers from which an instance does not report a crash of a part:
	// its answers outweigh what it could report. One is enough for a whole request.
	clearedCount = 3
	// changeGrace is the time for which a quarantine goes on after the voter that is asked has
	// changed. By then, one that has just started has the evidence again.
	changeGrace = 4 * time.Second
	// holdTime is the time after which a crash is reported although no other target has answered since.
	// By then a target that still runs has announced itself again.
	holdTime = 2 * time.Second
	// maxHeld bounds the crashes that are held.
	maxHeld = 256
)

// Memory is the record of one instance: the answers that began here lately, and the suspects as the voters
// determined them. Use NewMemory. It is not safe for concurrent use.
type Memory struct {
	instance ident.InstanceID
	began    map[Part]int // answers in this generation
	before   map[Part]int // answers in the generation before
	rotated  clock.Time

	held []held // crashes that are not reported yet, oldest first

	run         uint64     // of the voter that determined the suspects
	graceUntil  clock.Time // until then, quarantines of earlier runs go on in any case
	suspects    map[Part]bool
	quarantined map[Part]quarantined
	reported    map[Part]reported // last report of answers on a suspect
}

// quarantined is a part in quarantine.
type quarantined struct {
	suspect Suspect
	at      clock.Time // when it was determined last
	run     uint64     // that determined it last
	until   clock.Time
}

// held is the report of a crash that waits until this instance is known to be connected.
type held struct {
	at     clock.Time
	target ident.TargetID
	report Report
}

// reported is a report of answers.
type reported struct {
	at    clock.Time
	count int
}

// NewMemory returns the memory of an instance.
func NewMemory(instance ident.InstanceID) *Memory {
	return &Memory{
		instance: instance, began: map[Part]int{}, before: map[Part]int{},
		suspects: map[Part]bool{}, quarantined: map[Part]quarantined{}, reported: map[Part]reported{},
	}
}

// Began records that an answer of a target began on the given parts. It returns a report if one of them
// is a suspect, or if the answer shows that other targets have crashed and this instance is not cut off.
func (m *Memory) Began(now clock.Time, target ident.TargetID, parts []Part) Report {
	m.rotate(now)
	r := m.release(now, func(h held) bool { return h.target != target })
	for _, p := range parts {
		m.began[p]++
		if m.suspects[p] {
			r.Answered = m.appendAnswered(r.Answered, now, p)
		}
	}
	return r
}

// rotate starts another generation if this one is old or full.
func (m *Memory) rotate(now clock.Time) {
	if now.Sub(m.rotated) < generationTime && len(m.began) < maxAnswered {
		return
	}
	m.before, m.began = m.began, map[Part]int{}
	m.rotated = now
}

// count returns the number of answers that began lately.
func (m *Memory) count(p Part) int { return m.began[p] + m.before[p] }

// appendAnswered appends a statement about a suspect if there are answers to report and the last
// report is old enough.
func (m *Memory) appendAnswered(to []Answered, now clock.Time, p Part) []Answered {
	n, last := m.count(p), m.reported[p]
	if n == 0 || n < 2*last.count && now.Sub(last.at) < reportInterval {
		return to
	}
	m.reported[p] = reported{now, n}
	return append(to, Answered{Part: p, Instance: m.instance, Count: n})
}

// Crashed records a crash of the target to which a request with the given parts was sent the given time
// ago. No event of its answer had come; head is set if the head had. The crash is reported once another target has
// answered, since an instance that is cut off from all targets is no witness.
func (m *Memory) Crashed(now clock.Time, parts []Part, c Crash, head bool, sent time.Duration) {
	var r Report
	for depth, p := range parts {
		n := m.count(p)
		if n >= clearedCount || p.Whole && n > 0 || len(p.ID) > MaxPartLength {
			continue
		}
		r.Crashed = append(r.Crashed, Crashed{Part: p, Crash: c, Head: head, Depth: depth, Sent: sent})
		if n > 0 {
			r.Answered = append(r.Answered, Answered{Part: p, Instance: m.instance, Count: n})
		}
	}
	if r.Empty() {
		return
	}
	m.held = append(m.held, held{now, c.Target, r})
	m.held = m.held[max(0, len(m.held)-maxHeld):]
}

// CutOff forgets the crashes that are not reported yet. The targets were out of reach.
func (m *Memory) CutOff() { m.held = nil }

// release returns the reports of the held crashes that are shown to be some or have been held for long
// enough.
func (m *Memory) release(now clock.Time, shown func(held) bool) Report {
	var all Report
	m.held = slices.DeleteFunc(m.held, func(h held) bool {
		due := shown(h) || now.Sub(h.at) >= holdTime
		if due {
			all.Add(h.report.Aged(now.Sub(h.at)))
		}
		return due
	})
	return all
}

// Change is what became of the quarantine of a part.
type Change struct {
	Suspect Suspect
	Ended   bool
}

// Apply replaces the suspects by those that a run of a voter determined. It returns the quarantines
// that began or ended here, and the report that is due on the suspects.
func (m *Memory) Apply(now clock.Time, run uint64, suspects []Suspect) ([]Change, Report) {
	due := m.release(now, func(held) bool { return false })
	if run != m.run {
		m.run, m.graceUntil = run, now.Add(changeGrace)
		due.Add(m.proofs(now))
	}
	var changed []Change
	m.suspects = map[Part]bool{}
	stays := map[Part]bool{}
	for _, s := range suspects {
		m.suspects[s.Part] = true
		due.Answered = m.appendAnswered(due.Answered, now, s.Part)
		if !s.Quarantined {
			continue
		}
		stays[s.Part] = true
		if _, already := m.quarantined[s.Part]; !already {
			changed = append(changed, Change{Suspect: s})
		}
		m.quarantined[s.Part] = quarantined{s, now, run, now.Add(s.Until.AsDuration())}
	}
	for p, q := range m.quarantined {
		inGrace := q.run != run && now.Before(m.graceUntil)
		if !stays[p] && !inGrace || !now.Before(q.until) {
			changed = append(changed, Change{Suspect: q.suspect, Ended: true})
			delete(m.quarantined, p)
		}
	}
	maps.DeleteFunc(m.reported, func(p Part, _ reported) bool { return !m.suspects[p] })
	return changed, due
}

// proofs returns the crashes that prove the quarantines.
func (m *Memory) proofs(now clock.Time) Report {
	var all Report
	for _, q := range m.quarantined {
		all.Add(Report{Crashed: q.suspect.Proof}.Aged(now.Sub(q.at)))
	}
	return all
}

// Quarantined returns the first of the given parts that is in quarantine at any version, with the
// time until its quarantine ends.
func (m *Memory) Quarantined(now clock.Time, parts []Part) (Part, time.Duration, bool) {
	for p, q := range m.quarantined {
		p.Software = ""
		if now.Before(q.until) && slices.Contains(parts, p) {
			return p, q.until.Sub(now), true
		}
	}
	return Part{}, 0, false
}

// List returns the parts in quarantine, sorted by id.
func (m *Memory) List(now clock.Time) []Suspect {
	var list []Suspect
	for _, q := range m.quarantined {
		if now.Before(q.until) {
			q.suspect.Until = desired.Duration(q.until.Sub(now))
			list = append(list, q.suspect)
		}
	}
	slices.SortFunc(list, func(a, b Suspect) int { return cmp.Compare(a.Part.ID, b.Part.ID) })
	return list
}
