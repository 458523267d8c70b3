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

// Evidence adds up what all instances report. Use NewEvidence. It is not safe for concurrent use.
type Evidence struct {
	parts    map[Part]*record
	whole    int                         // number of whole requests among the parts
	released map[releasedPart]clock.Time // when the operator released it
}

// record is the evidence about one part.
type record struct {
	crashes map[Crash]crash
	answers map[ident.InstanceID]answers
	depth   int
	known   clock.Time // when this voter heard of the first crash, however old it was
	second  clock.Time // when it heard of the second
}

type crash struct {
	at     clock.Time
	sent   time.Duration // from sending the request until the crash; 0 if it is not known
	weight int
}

// sameMoment reports whether a crash came at the same moment as another one before it.
func (c crash) sameMoment(first crash) bool {
	sentBefore := c.sent == 0 || !c.at.Add(-c.sent).After(first.at)
	return c.at.Sub(first.at) < crashSpan && sentBefore
}

// merge returns the crash with another report of it: of another request that was at the target, or of one that was
// sent when it had crashed already, which tells nothing more.
func (c crash) merge(other crash) crash {
	if other.sent != 0 && other.at.Add(-other.sent) >= c.at {
		return c
	}
	merged := crash{at: min(c.at, other.at), weight: max(c.weight, other.weight)}
	if c.sent == 0 || other.sent == 0 {
		merged.sent = max(c.sent, other.sent)
		return merged
	}
	merged.sent = merged.at.Sub(min(c.at.Add(-c.sent), other.at.Add(-other.sent)))
	return merged
}

type answers struct {
	count int
	at    clock.Time
}

type releasedPart struct {
	service ident.ServiceID
	id      string
}

// NewEvidence returns empty evidence.
func NewEvidence() *Evidence {
	return &Evidence{parts: map[Part]*record{}, released: map[releasedPart]clock.Time{}}
}

// Add records a report.
func (e *Evidence) Add(now clock.Time, r Report) {
	for _, l := range r.Released {
		e.release(now.Add(-l.Age), releasedPart{l.Service, l.ID})
	}
	for _, c := range r.Crashed {
		e.addCrash(now, now.Add(-c.Age), c)
	}
	for _, a := range r.Answered {
		e.addAnswers(now.Add(-a.Age), a)
	}
}

func (e *Evidence) release(at clock.Time, p releasedPart) {
	e.released[p] = max(e.released[p], at)
	for part, r := range e.parts {
		if part.Service == p.service && part.ID == p.id {
			r.expire(at)
		}
	}
}

func (e *Evidence) addCrash(now, at clock.Time, c Crashed) {
	if at <= e.released[releasedPart{c.Part.Service, c.Part.ID}] {
		return
	}
	r := e.record(c.Part)
	if r == nil {
		return
	}
	if len(r.crashes) == 0 {
		r.known = now
	}
	r.depth = max(r.depth, c.Depth)
	known, seen := r.crashes[c.Crash]
	if !seen && len(r.crashes) >= maxCrashesPerPart {
		return
	}
	weight := crashWeight
	if c.Head {
		weight = headWeight
	}
	if !seen && len(r.crashes) == 1 {
		r.second = now
	}
	this := crash{at, c.Sent, weight}
	if seen {
		this = known.merge(this)
	}
	r.crashes[c.Crash] = this
}

// record returns the record of a part, which it creates if necessary, or nil if there are too many.
func (e *Evidence) record(p Part) *record {
	r := e.parts[p]
	if r != nil || e.full(p.Whole) {
		return r
	}
	r = &record{crashes: map[Crash]crash{}, answers: map[ident.InstanceID]answers{}}
	e.parts[p] = r
	if p.Whole {
		e.whole++
	}
	return r
}

// full reports whether there are too many whole requests, or too many other parts.
func (e *Evidence) full(whole bool) bool {
	if whole {
		return e.whole >= maxWhole
	}
	return len(e.parts)-e.whole >= maxParts
}

// addAnswers records answers, also before the report of the crash that they are reported for.
func (e *Evidence) addAnswers(at clock.Time, a Answered) {
	r := e.record(a.Part)
	if r == nil {
		return
	}
	known := r.answers[a.Instance]
	r.answers[a.Instance] = answers{max(known.count, a.Count), max(known.at, at)}
}

// Len returns the number of parts with evidence.
func (e *Evidence) Len() int { return len(e.parts) }

// All returns all evidence as one report, for a voter that has started.
func (e *Evidence) All(now clock.Time) Report {
	e.Expire(now)
	var all Report
	for part, r := range e.parts {
		for id, c := range r.crashes {
			all.Crashed = append(all.Crashed, r.crashed(now, part, id, c))
		}
		for id, a := range r.answers {
			all.Answered = append(all.Answered, Answered{Part: part, Instance: id, Count: a.count, Age: now.Sub(a.at)})
		}
	}
	for p, at := range e.released {
		all.Released = append(all.Released, Released{Service: p.service, ID: p.id, Age: now.Sub(at)})
	}
	return all
}

// Expire removes evidence that no longer counts.
func (e *Evidence) Expire(now clock.Time) {
	crowded := e.whole > maxWhole/2
	for part, r := range e.parts {
		r.expire(now.Add(-EvidenceTime))
		single := crowded && part.Whole && len(r.crashes) < 2 && now.Sub(r.known) > singleTime
		if single || len(r.crashes)+len(r.answers) == 0 {
			e.remove(part)
		}
	}
	maps.DeleteFunc(e.released, func(_ releasedPart, at clock.Time) bool { return now.Sub(at) > EvidenceTime })
}

func (e *Evidence) remove(p Part) {
	delete(e.parts, p)
	if p.Whole {
		e.whole--
	}
}

// expire removes the evidence up to a time.
func (r *record) expire(until clock.Time) {
	maps.DeleteFunc(r.crashes, func(_ Crash, c crash) bool { return c.at <= until })
	maps.DeleteFunc(r.answers, func(_ ident.InstanceID, a answers) bool { return a.at <= until })
}

// candidate is a part with the evidence about it while suspects are determined.
type candidate struct {
	part    Part
	record  *record
	score   int // evidence against it
	answers int // answers that began
}

// Suspects returns the parts with more evidence against than for them: those to quarantine, and at most
// maxSuspects others. The latter include parts whose crashes are explained, so that the answers on them
// are reported before another crash. Crashes of targets that go on announcing themselves do not count.
func (e *Evidence) Suspects(now clock.Time, announced Announced) []Suspect {
	e.Expire(now)
	explained := e.refuted(announced) // and later those explained by parts that are quarantined
	all := e.candidates(explained)
	open := slices.Clone(all)
	var suspects []Suspect
	for {
		for i := range open {
			open[i].score = open[i].record.score(explained)
		}
		open = slices.DeleteFunc(open, func(c candidate) bool { return c.net() <= 0 })
		slices.SortFunc(open, func(a, b candidate) int { return compareCandidates(b, a) })
		if len(open) == 0 || open[0].net() < threshold {
			break
		}
		suspects = append(suspects, open[0].suspect(now))
		for c := range open[0].record.crashes {
			explained[c] = true
		}
		open = open[1:]
	}
	quarantined := len(suspects)
	for _, c := range all {
		if c.net() <= 0 || len(suspects) >= quarantined+maxSuspects {
			break
		}
		if !slices.ContainsFunc(suspects[:quarantined], func(s Suspect) bool { return s.Part == c.part }) {
			s := c.suspect(now)
			s.Quarantined = false
			suspects = append(suspects, s)
		}
	}
	return suspects
}

// refuted returns the crashes after which the target went on announcing itself.
func (e *Evidence) refuted(announced Announced) map[Crash]bool {
	refuted := map[Crash]bool{}
	for _, r := range e.parts {
		for id, c := range r.crashes {
			if _, known := refuted[id]; known {
				continue // many parts are in the same crashes
			}
			at, ok := announced(id)
			refuted[id] = ok && at.Sub(c.at) > announceMargin
		}
	}
	return refuted
}

// candidates returns the parts that may be suspects, those with the most evidence against them first.
func (e *Evidence) candidates(refuted map[Crash]bool) []candidate {
	var all []candidate
	for part, r := range e.parts {
		if part.Whole && len(r.crashes) < 2 {
			continue
		}
		all = append(all, candidate{part: part, record: r, score: r.score(refuted), answers: r.answerCount()})
	}
	slices.SortFunc(all, func(a, b candidate) int { return compareCandidates(b, a) })
	return all
}

func (r *record) answerCount() int {
	n := 0
	for _, a := range r.answers {
		n += a.count
	}
	return n
}

// score returns the weight of the crashes that are not explained, of which those at the same moment
// count once.
func (r *record) score(explained map[Crash]bool) int {
	var counted []crash
	for id, c := range r.crashes {
		if !explained[id] {
			counted = append(counted, c)
		}
	}
	slices.SortFunc(counted, func(a, b crash) int { return cmp.Compare(a.at, b.at) })
	score := 0
	for i := 0; i < len(counted); {
		first, weight := counted[i], 0
		for ; i < len(counted) && counted[i].sameMoment(first); i++ {
			weight = max(weight, counted[i].weight)
		}
		score += weight
	}
	return score
}

// net returns the evidence against the part less that for it.
func (c candidate) net() int {
	if c.part.Whole && c.answers > 0 {
		return 0
	}
	return c.score - answerWeight*c.answers
}

// compareCandidates orders parts by suspicion: by the evidence, then by the place in the prompt, then by name
// so that all voters agree.
func compareCandidates(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(a.net(), b.net()), cmp.Compare(a.record.depth, b.record.depth),
		cmp.Compare(a.part.ID, b.part.ID), cmp.Compare(a.part.Software, b.part.Software), cmp.Compare(a.part.Service, b.part.Service),
	)
}

func (c candidate) suspect(now clock.Time) Suspect {
	last := clock.Time(0)
	for _, k := range c.record.crashes {
		last = max(last, k.at)
	}
	s := Suspect{Part: c.part, Crashes: len(c.record.crashes), Answers: c.answers, Until: desired.Duration(last.Add(EvidenceTime).Sub(now))}
	s.Quarantined = c.net() >= threshold && now.Sub(c.suspectSince()) >= settleTime
	if s.Quarantined {
		s.Proof = c.record.proof(now, c.part)
	}
	return s
}

// suspectSince returns when this voter first had reason to list the part.
func (c candidate) suspectSince() clock.Time {
	if c.part.Whole {
		return c.record.second
	}
	return c.record.known
}

// proof returns the last crashes of a part.
func (r *record) proof(now clock.Time, p Part) []Crashed {
	var all []Crashed
	for id, c := range r.crashes {
		all = append(all, r.crashed(now, p, id, c))
	}
	slices.SortFunc(all, func(a, b Crashed) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Crash.Target, b.Crash.Target))
	})
	return all[:min(maxProof, len(all))]
}

// crashed returns the report of a crash.
func (r *record) crashed(now clock.Time, p Part, id Crash, c crash) Crashed {
	return Crashed{Part: p, Crash: id, Head: c.weight == headWeight, Depth: r.depth, Sent: c.sent, Age: now.Sub(c.at)}
}
