package state

import (
	"maps"
	"slices"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
)

// Subject names what a duty concerns, such as the usage reports, or the targets of a service in a domain.
// Calls for one subject are ordered; those for different subjects are independent.
type Subject string

// DecisionNumber numbers the decisions for a subject, increasing and with gaps.
type DecisionNumber uint64

// ClaimDuties makes an instance the holder of all duties. Its generation is the log index of the command.
type ClaimDuties struct {
	Holder ident.InstanceID `msgpack:"holder"`
	Boot   ident.BootID     `msgpack:"boot"`
}

// DutyClaim is the newest claim.
type DutyClaim struct {
	Holder     ident.InstanceID   `msgpack:"holder" json:"holder"`
	Boot       ident.BootID       `msgpack:"boot" json:"boot"`
	Generation ident.FencingToken `msgpack:"generation" json:"generation"`
	At         UnixMillis         `msgpack:"at" json:"at"`
	// Previous is the holder of the claim before; empty if there was none.
	Previous ident.InstanceID `msgpack:"previous" json:"previous,omitempty"`
}

// Decide records what the holder of the duties will send. It is committed before anything is sent.
type Decide struct {
	Subject    Subject            `msgpack:"subject"`
	Number     DecisionNumber     `msgpack:"number"`
	Generation ident.FencingToken `msgpack:"generation"` // of the claim under which the holder decides
	Content    []byte             `msgpack:"content"`
}

// Decision is the recorded content of the calls with one number.
type Decision struct {
	Subject Subject         `msgpack:"subject" json:"subject"`
	Number  DecisionNumber  `msgpack:"number" json:"number"`
	Content []byte          `msgpack:"content" json:"content"`
	Decided UnixMillis      `msgpack:"decided" json:"decided"`
	Outcome DecisionOutcome `msgpack:"outcome,omitempty" json:"outcome,omitempty"` // empty while it is open
	Reason  string          `msgpack:"reason,omitempty" json:"reason,omitempty"`
}

// DecisionOutcome is what became of a decision.
type DecisionOutcome string

// The outcomes of decisions.
const (
	DecisionAccepted DecisionOutcome = "accepted" // the receiver took it
	DecisionRefused  DecisionOutcome = "refused"  // the receiver will not take it
	DecisionExpired  DecisionOutcome = "expired"  // no clear answer came while the decision mattered
)

// CloseDecision records the outcome of a decision, after which nothing is sent for it.
type CloseDecision struct {
	Subject Subject         `msgpack:"subject"`
	Number  DecisionNumber  `msgpack:"number"`
	Outcome DecisionOutcome `msgpack:"outcome"`
	Reason  string          `msgpack:"reason,omitempty"`
}

// duties holds the claim and the decisions. It maintains these invariants:
//
//   - A claim's generation is larger than those of all earlier claims.
//   - Only the newest claim's holder decides, and a number of a subject is decided at most once.
//   - The numbers of a subject are decided in increasing order, and a closed one is never open again.
type duties struct {
	claim    DutyClaim
	subjects map[Subject]*subjectState
}

// subjectState is the state of one subject.
type subjectState struct {
	Open []Decision     `msgpack:"open"` // by number
	Last DecisionNumber `msgpack:"last"` // largest number that was decided
	// Closed is the decision that was closed last; nil if none was.
	Closed *Decision `msgpack:"closed"`
}

func newDuties() *duties { return &duties{subjects: map[Subject]*subjectState{}} }

// claimDuties makes an instance the holder. The same run of it may claim again, under a new generation.
func (ds *duties) claimDuties(now UnixMillis, generation ident.FencingToken, c ClaimDuties) DutyClaim {
	ds.claim = DutyClaim{Holder: c.Holder, Boot: c.Boot, Generation: generation, At: now, Previous: ds.claim.Holder}
	return ds.claim
}

// decide records a decision. A repeated command returns the recorded decision, whatever content it has.
func (ds *duties) decide(now UnixMillis, d Decide) (Decision, error) {
	if d.Generation == 0 || d.Generation != ds.claim.Generation {
		return Decision{}, fault.New(fault.FenceRefused, "generation %d is not that of the holder, %d", d.Generation, ds.claim.Generation)
	}
	s := ds.subjects[d.Subject]
	if s == nil {
		s = &subjectState{}
		ds.subjects[d.Subject] = s
	}
	if i := s.find(d.Number); i >= 0 {
		return s.Open[i], nil
	}
	if d.Number <= s.Last {
		return Decision{}, fault.New(fault.NumberConflict, "number %d of %q has been decided or passed over; the newest one is %d", d.Number, d.Subject, s.Last)
	}
	s.Last = d.Number
	decision := Decision{Subject: d.Subject, Number: d.Number, Content: d.Content, Decided: now}
	s.Open = append(s.Open, decision)
	return decision, nil
}

// closeDecision records an outcome. A decision that is closed already is left as it is.
func (ds *duties) closeDecision(c CloseDecision) (Decision, error) {
	s := ds.subjects[c.Subject]
	if s == nil || c.Number > s.Last {
		return Decision{}, fault.New(fault.NotFound, "number %d of %q has not been decided", c.Number, c.Subject)
	}
	i := s.find(c.Number)
	if i < 0 {
		return Decision{Subject: c.Subject, Number: c.Number}, nil
	}
	decision := s.Open[i]
	decision.Outcome, decision.Reason = c.Outcome, c.Reason
	s.Open = slices.Delete(s.Open, i, i+1)
	s.Closed = &decision
	return decision, nil
}

// find returns the index of an open decision, or -1.
func (s *subjectState) find(n DecisionNumber) int {
	return slices.IndexFunc(s.Open, func(d Decision) bool { return d.Number == n })
}

// Duties is the state of the duties of one instance at a time.
type Duties struct {
	Claim  DutyClaim  `json:"claim"`
	Open   []Decision `json:"open"`   // by subject and number
	Closed []Decision `json:"closed"` // the one that was closed last of each subject
	// Last is the largest number that was decided for each subject.
	Last map[Subject]DecisionNumber `json:"last"`
}

func (ds *duties) copy() Duties {
	out := Duties{Claim: ds.claim, Last: map[Subject]DecisionNumber{}}
	for _, name := range slices.Sorted(maps.Keys(ds.subjects)) {
		s := ds.subjects[name]
		out.Open = append(out.Open, s.Open...)
		out.Last[name] = s.Last
		if s.Closed != nil {
			out.Closed = append(out.Closed, *s.Closed)
		}
	}
	return out
}

// Duties returns a copy of the state of the duties.
func (m *Machine) Duties() Duties {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.duties.copy()
}

func decisionResult(d Decision, err error) Result {
	if err != nil {
		return refusal(err)
	}
	return Result{Decision: &d}
}
