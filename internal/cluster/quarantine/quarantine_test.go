package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

const start = clock.Time(time.Hour)

func part(id string) Part { return Part{Service: "s", Software: "v1", ID: id} }

// silent are targets that announce nothing.
func silent(Crash) (clock.Time, bool) { return 0, false }

// requestOf marks the last part of each crash and all answers as a whole request.
func requestOf(r Report) Report {
	if n := len(r.Crashed); n > 0 {
		r.Crashed[n-1].Part.Whole = true
	}
	for i := range r.Answered {
		r.Answered[i].Part.Whole = true
	}
	return r
}

// sentFor sets the time in ms from sending the request until the crash.
func sentFor(ms int, r Report) Report {
	for i := range r.Crashed {
		r.Crashed[i].Sent = time.Duration(ms) * time.Millisecond
	}
	return r
}

// crashOf returns evidence of a crash against parts in the order of their prompt.
func crashOf(target string, head bool, ids ...string) Report {
	var r Report
	for depth, id := range ids {
		r.Crashed = append(r.Crashed, Crashed{Part: part(id), Crash: Crash{ident.TargetID(target), 1}, Head: head, Depth: depth})
	}
	return r
}

func answersOn(instance string, n int, ids ...string) Report {
	var r Report
	for _, id := range ids {
		r.Answered = append(r.Answered, Answered{Part: part(id), Instance: ident.InstanceID(instance), Count: n})
	}
	return r
}

// at is a report with the time after start at which it arrives.
type at struct {
	ms     int
	report Report
}

// TestEvidence shows which parts are in quarantine after which reports.
func TestEvidence(t *testing.T) {
	release := Report{Released: []Released{{Service: "s", ID: "dead"}}}
	other := crashOf("t2", true, "dead")
	other.Crashed[0].Part.Software = "v2"
	for name, test := range map[string]struct {
		reports []at
		want    []string
		after   int // ms
	}{
		"one crash": {[]at{{0, crashOf("t1", true, "dead")}}, nil, 1000},
		"two crashes after the head": {
			[]at{{0, crashOf("t1", true, "dead")}, {400, crashOf("t2", true, "dead")}}, []string{"dead"}, 1000},
		"two crashes without": {
			[]at{{0, crashOf("t1", false, "dead")}, {400, crashOf("t2", false, "dead")}}, nil, 1000},
		"three crashes without": {
			[]at{{0, crashOf("t1", false, "dead")}, {400, crashOf("t2", false, "dead")}, {800, crashOf("t3", false, "dead")}}, []string{"dead"}, 1000},
		"the same crash seen by three instances": {
			[]at{{0, crashOf("t1", true, "dead")}, {400, crashOf("t1", true, "dead")}, {800, crashOf("t1", true, "dead")}}, nil, 1000},
		"an outage that ends many engines at once": {
			[]at{{0, crashOf("t1", true, "dead")}, {10, crashOf("t2", true, "dead")}, {20, crashOf("t3", true, "dead")}, {30, crashOf("t4", true, "dead")}}, nil, 1000},
		"not settled": {
			[]at{{0, crashOf("t1", true, "dead")}, {100, crashOf("t2", true, "dead")}}, nil, 200},
		"answers began": {
			[]at{{0, crashOf("t1", true, "dead")}, {10, answersOn("i", 1, "dead")}, {400, crashOf("t2", true, "dead")}}, nil, 1000},
		"an answer outweighs one crash only": {
			[]at{{0, crashOf("t1", true, "dead")}, {10, answersOn("i", 1, "dead")}, {400, crashOf("t2", true, "dead")}, {800, crashOf("t3", true, "dead")}}, []string{"dead"}, 1000},
		"answers known before the crash": {
			[]at{{0, answersOn("i", 1, "dead")}, {10, crashOf("t1", true, "dead")}, {400, crashOf("t2", true, "dead")}}, nil, 1000},
		"shared first part, no answer on it known": {
			[]at{{0, crashOf("t1", true, "shared", "dead")}, {400, crashOf("t2", true, "shared", "dead")}}, []string{"dead"}, 1000},
		"shared first part that crashes with others too": {
			[]at{{0, crashOf("t1", true, "first", "a")}, {400, crashOf("t2", true, "first", "b")}, {800, crashOf("t3", true, "first", "c")}}, []string{"first"}, 1000},
		"two deadly parts in different prompts": {
			[]at{{0, crashOf("t1", true, "x")}, {200, crashOf("t2", true, "y")}, {400, crashOf("t3", true, "x")}, {600, crashOf("t4", true, "y")}}, []string{"x", "y"}, 1000},
		"an innocent at the same engines": {
			[]at{{0, crashOf("t1", true, "dead")}, {1, crashOf("t1", false, "rare")}, {400, crashOf("t2", true, "dead")}, {401, crashOf("t2", false, "rare")}, {800, crashOf("t3", false, "rare")}, {801, crashOf("t3", true, "dead")}},
			[]string{"dead"}, 1000},
		"a request that crashed three": {
			[]at{{0, requestOf(crashOf("t1", false, "request"))}, {400, requestOf(crashOf("t2", false, "request"))}, {800, requestOf(crashOf("t3", false, "request"))}}, []string{"request"}, 1000},
		"a request that was sent again at once": {
			[]at{{0, sentFor(10, requestOf(crashOf("t1", false, "request")))}, {20, sentFor(19, requestOf(crashOf("t2", false, "request")))}, {40, sentFor(19, requestOf(crashOf("t3", false, "request")))}}, []string{"request"}, 1000},
		"a request that was sent to a crashed target again": {
			[]at{{0, sentFor(10, requestOf(crashOf("t1", false, "request")))}, {20, sentFor(19, requestOf(crashOf("t2", false, "request")))}, {40, sentFor(19, requestOf(crashOf("t3", false, "request")))},
				{60, sentFor(25, requestOf(crashOf("t2", false, "request")))}}, []string{"request"}, 1000},
		"a request that was at three targets in an outage, of which two are tried again": {
			[]at{{0, sentFor(10, requestOf(crashOf("t1", false, "request")))}, {20, sentFor(21, requestOf(crashOf("t2", false, "request")))}, {40, sentFor(45, requestOf(crashOf("t3", false, "request")))},
				{60, sentFor(2, requestOf(crashOf("t2", false, "request")))}, {61, sentFor(2, requestOf(crashOf("t3", false, "request")))}}, nil, 1000},
		"a request that was at three targets in an outage": {
			[]at{{0, sentFor(10, requestOf(crashOf("t1", false, "request")))}, {20, sentFor(21, requestOf(crashOf("t2", false, "request")))}, {40, sentFor(45, requestOf(crashOf("t3", false, "request")))}}, nil, 1000},
		"a request that was answered once": {
			[]at{{0, requestOf(crashOf("t1", false, "request"))}, {400, requestOf(crashOf("t2", false, "request"))}, {800, requestOf(crashOf("t3", false, "request"))},
				{900, requestOf(crashOf("t4", false, "request"))}, {990, requestOf(crashOf("t5", false, "request"))}, {1200, requestOf(answersOn("i", 1, "request"))}}, nil, 1500},
		"a request with a part that others share": {
			[]at{{0, requestOf(crashOf("t1", true, "shared", "request"))}, {400, requestOf(crashOf("t2", true, "shared", "request"))}}, []string{"request"}, 1000},
		"requests with a deadly part": {
			[]at{{0, requestOf(crashOf("t1", true, "dead", "r1"))}, {200, requestOf(crashOf("t2", true, "dead", "r1"))}, {400, requestOf(crashOf("t3", true, "dead", "r2"))}}, []string{"dead"}, 1000},
		"a sound request at the targets that another one crashed": {
			[]at{{0, requestOf(crashOf("t1", false, "deadly"))}, {1, requestOf(crashOf("t1", false, "sound"))}, {400, requestOf(crashOf("t2", false, "deadly"))}, {401, requestOf(crashOf("t2", false, "sound"))},
				{800, requestOf(crashOf("t3", false, "sound"))}, {801, requestOf(crashOf("t3", false, "deadly"))}, {1200, requestOf(crashOf("t4", false, "deadly"))}}, []string{"deadly"}, 1500},
		"two deadly requests": {
			[]at{{0, requestOf(crashOf("t1", false, "x"))}, {100, requestOf(crashOf("t2", false, "y"))}, {200, requestOf(crashOf("t3", false, "x"))}, {300, requestOf(crashOf("t4", false, "y"))},
				{400, requestOf(crashOf("t5", false, "x"))}, {500, requestOf(crashOf("t6", false, "y"))}}, []string{"x", "y"}, 1000},
		"another software version": {[]at{{0, crashOf("t1", true, "dead")}, {400, other}}, nil, 1000},
		"lapsed": {
			[]at{{0, crashOf("t1", true, "dead")}, {400, crashOf("t2", true, "dead")}}, nil, 121_000},
		"released by an operator": {
			[]at{{0, crashOf("t1", true, "dead")}, {400, crashOf("t2", true, "dead")}, {600, release}}, nil, 1000},
		"crashes after the release": {
			[]at{{0, crashOf("t1", true, "dead")}, {400, release}, {600, crashOf("t2", true, "dead")}, {900, crashOf("t3", true, "dead")}}, []string{"dead"}, 2000},
	} {
		t.Run(name, func(t *testing.T) {
			forward, repeated := NewEvidence(), NewEvidence()
			for _, r := range test.reports {
				forward.Add(start.Add(time.Duration(r.ms)*time.Millisecond), r.report)
			}
			// Told again by another instance, in another order: the ages keep the times.
			end := start.Add(time.Duration(test.after) * time.Millisecond)
			for i := range test.reports {
				r := test.reports[len(test.reports)-1-i]
				aged := r.report.Aged(time.Duration(test.after-r.ms) * time.Millisecond)
				repeated.Add(end, aged)
				repeated.Add(end, aged)
			}
			if got := quarantinedIDs(forward.Suspects(end, silent)); !slices.Equal(got, test.want) {
				t.Errorf("in quarantine %v, want %v", got, test.want)
			}
			if got := quarantinedIDs(repeated.Suspects(end, silent)); got != nil {
				t.Errorf("told again: in quarantine %v before it is settled", got)
			}
			settled := end.Add(settleTime)
			if got, want := quarantinedIDs(repeated.Suspects(settled, silent)), quarantinedIDs(forward.Suspects(settled, silent)); !slices.Equal(got, want) {
				t.Errorf("told again: in quarantine %v, want %v", got, want)
			}
		})
	}
}

func quarantinedIDs(suspects []Suspect) []string {
	var ids []string
	for _, s := range suspects {
		if s.Quarantined {
			ids = append(ids, s.Part.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// TestExplainedPartStaysSuspect guards against a shared part whose answers are not reported while the part
// behind it explains its crashes. One more crash would put it in quarantine in place of the deadly one.
func TestExplainedPartStaysSuspect(t *testing.T) {
	e := NewEvidence()
	e.Add(start, crashOf("t1", true, "shared", "dead"))
	e.Add(start.Add(400*time.Millisecond), crashOf("t2", true, "shared", "dead"))
	suspects := e.Suspects(start.Add(time.Second), silent)
	if !slices.Equal(quarantinedIDs(suspects), []string{"dead"}) || !slices.ContainsFunc(suspects, func(s Suspect) bool { return s.Part == part("shared") }) {
		t.Fatalf("suspects %+v, want the deadly part in quarantine and the shared one listed", suspects)
	}
	e.Add(start.Add(time.Second), answersOn("i", 1, "shared"))
	e.Add(start.Add(2*time.Second), crashOf("t3", false, "shared"))
	if got := quarantinedIDs(e.Suspects(start.Add(3*time.Second), silent)); !slices.Equal(got, []string{"dead"}) {
		t.Errorf("in quarantine after one more crash with the shared part: %v, want the deadly part", got)
	}
}

// TestEvidenceIsBounded guards against memory that grows with the parts of crashed prompts.
func TestEvidenceIsBounded(t *testing.T) {
	e := NewEvidence()
	for n := range 3 * maxParts {
		e.Add(start, crashOf("t1", false, fmt.Sprint("p", n)))
	}
	for n := range 3 * maxCrashesPerPart {
		e.Add(start.Add(time.Duration(n)*time.Second), crashOf(fmt.Sprint("t", n), true, "p1"))
	}
	if len(e.parts) > maxParts || len(e.parts[part("p1")].crashes) > maxCrashesPerPart {
		t.Errorf("%d parts and %d crashes of one kept, want at most %d and %d", len(e.parts), len(e.parts[part("p1")].crashes), maxParts, maxCrashesPerPart)
	}
	if got := len(e.Suspects(start.Add(time.Second), silent)); got > maxSuspects+1 {
		t.Errorf("%d suspects listed, want at most %d and the one in quarantine", got, maxSuspects)
	}
}

// TestMemoryReportsAnswers shows when an instance reports answers on a suspect, and what it leaves out.
func TestMemoryReportsAnswers(t *testing.T) {
	m := NewMemory("i")
	now := start
	if r := m.Began(now, "t9", []Part{part("a")}); !r.Empty() {
		t.Errorf("an answer on a part that nobody suspects was reported: %+v", r)
	}
	_, due := m.Apply(now, 1, []Suspect{{Part: part("a")}, {Part: part("b")}})
	if len(due.Answered) != 1 || due.Answered[0].Part != part("a") || due.Answered[0].Count != 1 {
		t.Errorf("due on new suspects: %+v, want the answer on a", due)
	}
	if r := m.Began(now.Add(time.Millisecond), "t9", []Part{part("a")}); len(r.Answered) != 1 {
		t.Errorf("the number of answers has doubled and was not reported: %+v", r)
	}
	if r := m.Began(now.Add(2*time.Millisecond), "t9", []Part{part("a")}); !r.Empty() {
		t.Errorf("answers on the same part were reported again within %v: %+v", reportInterval, r)
	}
	if r := m.Began(now.Add(reportInterval), "t9", []Part{part("b")}); len(r.Answered) != 1 {
		t.Errorf("the first answer on a suspect was not reported: %+v", r)
	}
	m.Began(now, "t9", []Part{part("a")})
	m.Crashed(now, []Part{part("a"), part("c")}, Crash{"t", 1}, true, 0)
	r := m.Began(now, "t9", nil)
	if len(r.Crashed) != 1 || r.Crashed[0].Part != part("c") || r.Crashed[0].Depth != 1 {
		t.Errorf("reported on a crash: %+v, want only the part without answers", r)
	}
}

// TestQuarantineOutlivesVoter guards against a quarantine that ends because the voter that is asked has
// started again and knows nothing yet.
func TestQuarantineOutlivesVoter(t *testing.T) {
	m := NewMemory("i")
	dead := Suspect{Part: part("dead"), Quarantined: true, Until: desired.Duration(time.Minute)}
	quarantined := func(now clock.Time) bool {
		_, _, found := m.Quarantined(now, []Part{{Service: "s", ID: "x"}, {Service: "s", ID: "dead"}})
		return found
	}
	if changed, _ := m.Apply(start, 1, []Suspect{dead}); len(changed) != 1 || !quarantined(start) {
		t.Fatalf("changes %+v, quarantined %v", changed, quarantined(start))
	}
	now := start.Add(time.Second)
	m.Apply(now, 2, nil)
	if !quarantined(now) {
		t.Error("not quarantined once another voter is asked")
	}
	m.Apply(now.Add(time.Second), 2, []Suspect{dead})
	m.Apply(now.Add(changeGrace), 2, []Suspect{dead})
	if !quarantined(now.Add(changeGrace)) {
		t.Error("not quarantined although the voter says so")
	}
	changed, _ := m.Apply(now.Add(2*changeGrace), 2, nil)
	if len(changed) != 1 || !changed[0].Ended || quarantined(now.Add(2*changeGrace)) {
		t.Errorf("changes %+v after the voter released the part", changed)
	}
}

// TestQuarantineLapses guards against a quarantine that never ends where no voter is reached.
func TestQuarantineLapses(t *testing.T) {
	m := NewMemory("i")
	m.Apply(start, 1, []Suspect{{Part: part("dead"), Quarantined: true, Until: desired.Duration(time.Minute)}})
	if _, _, found := m.Quarantined(start.Add(time.Minute), []Part{{Service: "s", ID: "dead"}}); found {
		t.Error("part is in quarantine after its time")
	}
}

// TestQuarantinedKinds guards against a request that is refused because a part has the name of its
// digest, or the other way round, and against a part of another service.
func TestQuarantinedKinds(t *testing.T) {
	m := NewMemory("i")
	dead := Part{Service: "s", Software: "v1", ID: "x", Whole: true}
	m.Apply(start, 1, []Suspect{{Part: dead, Quarantined: true, Until: desired.Duration(time.Minute)}})
	for name, test := range map[string]struct {
		part Part
		want bool
	}{
		"the request":             {Part{Service: "s", ID: "x", Whole: true}, true},
		"a part of the same name": {Part{Service: "s", ID: "x"}, false},
		"another service":         {Part{Service: "t", ID: "x", Whole: true}, false},
		"another request":         {Part{Service: "s", ID: "y", Whole: true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			if _, _, found := m.Quarantined(start, []Part{{Service: "s", ID: "first"}, test.part}); found != test.want {
				t.Errorf("in quarantine: %v, want %v", found, test.want)
			}
		})
	}
}

// TestCutOffInstanceAccusesNobody guards against a quarantine because of targets that an instance could not
// reach while they went on running.
func TestCutOffInstanceAccusesNobody(t *testing.T) {
	e := NewEvidence()
	for n := range 4 {
		e.Add(start.Add(time.Duration(n)*time.Second), crashOf(fmt.Sprint("t", n), false, "sound"))
	}
	now := start.Add(4 * time.Second)
	if got := quarantinedIDs(e.Suspects(now, silent)); !slices.Equal(got, []string{"sound"}) {
		t.Fatalf("in quarantine %v although the targets are gone, want the part", got)
	}
	running := func(c Crash) (clock.Time, bool) { return now, c.Target != "t0" }
	if got := quarantinedIDs(e.Suspects(now, running)); got != nil {
		t.Errorf("in quarantine %v although three of the targets still announce themselves", got)
	}
	before := func(c Crash) (clock.Time, bool) { return start, true }
	if got := quarantinedIDs(e.Suspects(now, before)); !slices.Equal(got, []string{"sound"}) {
		t.Errorf("in quarantine %v, want the part: the announcements came before the crashes", got)
	}
}

// TestCrashIsHeld shows when an instance reports a crash: not before another target has answered.
func TestCrashIsHeld(t *testing.T) {
	m := NewMemory("i")
	crash := Crash{Target: "t1", Incarnation: 1}
	m.Crashed(start, []Part{part("a")}, crash, true, 0)
	if r := m.Began(start, "t1", nil); !r.Empty() {
		t.Errorf("reported when the target itself had answered: %+v", r)
	}
	if _, r := m.Apply(start.Add(holdTime-1), 1, nil); !r.Empty() {
		t.Errorf("reported while nothing has answered: %+v", r)
	}
	if _, r := m.Apply(start.Add(holdTime), 1, nil); len(r.Crashed) != 1 || r.Crashed[0].Age != holdTime {
		t.Errorf("reported after %v: %+v, want the crash with its age", holdTime, r)
	}
	m.Crashed(start, []Part{part("a")}, crash, true, 0)
	if r := m.Began(start.Add(time.Millisecond), "t2", nil); len(r.Crashed) != 1 {
		t.Errorf("reported when another target had answered: %+v, want the crash", r)
	}
	if r := m.Began(start.Add(time.Millisecond), "t2", nil); !r.Empty() {
		t.Errorf("reported twice: %+v", r)
	}
	for n := range 3 * maxHeld {
		m.Crashed(start, []Part{part(fmt.Sprint(n))}, crash, true, 0)
	}
	if len(m.held) > maxHeld {
		t.Errorf("%d crashes are held, want at most %d", len(m.held), maxHeld)
	}
}

// TestQuarantineOutlivesAllVoters guards against a quarantine that ends, and a target that crashes again,
// because all voters and the instances that reported the crashes have started again.
func TestQuarantineOutlivesAllVoters(t *testing.T) {
	old, m := NewEvidence(), NewMemory("i")
	for n := range 3 {
		old.Add(start.Add(time.Duration(n)*time.Second), requestOf(crashOf(fmt.Sprint("t", n), false, "dead")))
	}
	now := start.Add(4 * time.Second)
	m.Apply(now, 1, old.Suspects(now, silent))
	fresh := NewEvidence()
	later := now.Add(10 * time.Second)
	_, due := m.Apply(later, 2, fresh.Suspects(later, silent))
	fresh.Add(later, due)
	settled := later.Add(settleTime)
	if got := quarantinedIDs(fresh.Suspects(settled, silent)); !slices.Equal(got, []string{"dead"}) {
		t.Fatalf("in quarantine at a voter that started: %v, want the request", got)
	}
	if a, b := old.Suspects(settled, silent)[0].Until, fresh.Suspects(settled, silent)[0].Until; a != b {
		t.Errorf("the quarantine ends in %v, before the voters started in %v", b.AsDuration(), a.AsDuration())
	}
}

// TestOutageLeavesRoom guards against an outage that ends hundreds of engines with thousands of requests, after
// which nothing is recorded about the part and the request that crash targets, or answers on shared parts are not
// reported because the requests fill the list of suspects.
func TestOutageLeavesRoom(t *testing.T) {
	e := NewEvidence()
	now := start
	for engine := range 400 {
		for n := range 48 {
			e.Add(now.Add(time.Duration(engine)*time.Millisecond), requestOf(crashOf(fmt.Sprint("t", engine), true, "shared", fmt.Sprint("second", n%50), fmt.Sprint("r", engine, "-", n))))
		}
	}
	if e.whole > maxWhole || len(e.parts)-e.whole > maxParts {
		t.Fatalf("%d whole requests and %d other parts kept", e.whole, len(e.parts)-e.whole)
	}
	suspects := e.Suspects(now.Add(time.Second), silent)
	if !slices.ContainsFunc(suspects, func(s Suspect) bool { return s.Part == part("shared") }) {
		t.Error("the shared part is not listed")
	}
	for _, s := range suspects {
		if s.Part.Whole {
			t.Fatalf("a request that was at one engine is listed: %+v", s)
		}
	}
	e.Add(now.Add(time.Second), answersOn("i", 1000, "shared"))
	for n := range 50 {
		e.Add(now.Add(time.Second), answersOn("i", 1000, fmt.Sprint("second", n)))
	}
	e.Expire(now.Add(singleTime + 2*time.Second))
	later := now.Add(singleTime + 3*time.Second)
	for n := range 3 {
		at := later.Add(time.Duration(n) * 400 * time.Millisecond)
		e.Add(at, requestOf(crashOf(fmt.Sprint("d", n), false, "deadly")))
		e.Add(at, crashOf(fmt.Sprint("p", n), true, "shared", "dead"))
	}
	if got := quarantinedIDs(e.Suspects(later.Add(2*time.Second), silent)); !slices.Equal(got, []string{"dead", "deadly"}) {
		t.Errorf("in quarantine %v, want the deadly part and the deadly request", got)
	}
	e.Expire(later.Add(2 * EvidenceTime))
	if e.whole != 0 || len(e.parts) != 0 {
		t.Errorf("%d whole requests counted, %d parts left, want none", e.whole, len(e.parts))
	}
}
