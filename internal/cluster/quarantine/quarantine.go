// Package quarantine decides which part of a prompt, or which whole request, crashes the targets that
// it is sent to.
//
// A prompt consists of parts, of which all but the last may occur in other prompts too. If an engine
// cannot process one of them, it crashes when it begins to write an answer, and the requests with
// that part are sent to the next engine, by retries of this system and by new requests. Each of
// hundreds of instances may see one crash only. So every instance reports what it saw, and the
// voters add it up.
//
// A crash is evidence against every shared part of the requests that were at the engine and had no
// event of an answer yet, because the crash alone does not show which one caused it. It is stronger
// evidence if the head of the answer had come. An answer that begins is evidence for all of its parts
// and counts as much as the strongest crash. The part before the deadly one, which sound requests
// share, is thereby cleared, and so are the parts of requests that happened to be at the same engine.
//
// A request may crash targets by something that is in no part that others share, or have no prompt
// at all. So the whole request is a suspect too, named by a digest of its content, which its callers'
// retries have as well. It counts as the last of its parts, since nothing is more specific, and a
// single answer clears it: the same request does the same again. It is no suspect before its second
// crash, or every request that was at a crashed target would be one.
//
// Crashes at the same moment count once for a part, because an outage that no request causes hits
// many engines. The crash of a target to which the request was sent after the crash before, as a retry
// is, is another moment, however soon it comes. Where two parts are in the same crashes, the one later in the prompt is blamed:
// prompts share their beginnings. A crash that a quarantined part explains is no evidence against
// other parts.
//
// Evidence is kept by version of the engines' software, since a part may crash one version only. It
// counts for EvidenceTime, so a quarantine ends by itself, and an operator can end it before.
//
// An instance which is cut off from a target may take it for crashed. It reports a crash once another
// target has answered it, or after a while, and the crash does not count while the target goes on
// announcing itself in the same incarnation.
//
// An instance that turns to another voter publishes again which crashes prove its quarantines, so
// that these outlive all voters, and the instances that reported the crashes.
//
// Evidence is the part of a voter, Memory that of an instance which sends requests. Neither holds a
// lock or reads a clock: the caller serializes access and passes the time. All that instances
// report has the same effect if it is reported again.
package quarantine

import (
	"slices"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

const (
	// EvidenceTime is the time for which a crash or an answer counts.
	EvidenceTime = 2 * time.Minute
	// settleTime is the time from the first report of a crash with a part until the part may be
	// quarantined, within which the instances that have seen answers with the part report them.
	settleTime = 300 * time.Millisecond
	// crashSpan is the time within which crashes count once for a part if all requests had been sent
	// before the first one.
	crashSpan = 50 * time.Millisecond
	// singleTime is the time for which a whole request with a single crash is kept once half of maxWhole are
	// kept. Most of them were at a target by chance.
	singleTime = 10 * time.Second
	// announceMargin is how much later than a crash an announcement must have come to show that there was
	// none. An announcement may be in flight when its target crashes.
	announceMargin = 500 * time.Millisecond
)

// Weights of evidence. A part is quarantined after two crashes with the head of an answer, or after
// three crashes of any kind.
const (
	headWeight   = 3 // a crash after the head of the answer
	crashWeight  = 2 // a crash without
	answerWeight = 3 // an answer that began
	threshold    = 6
)

// Bounds of what is kept.
const (
	maxParts          = 4096
	maxWhole          = 16384 // whole requests, of which an outage leaves one for each request at its targets
	maxCrashesPerPart = 64
	maxSuspects       = 64 // besides those in quarantine
	maxProof          = 8  // crashes that go out with a quarantine; some may have come at the same moment
	// MaxPartLength is the length of the longest part id that is recorded, in bytes.
	MaxPartLength = 128
)

// Part is a part of a prompt, or a whole request, at targets of one service and software version.
type Part struct {
	Service  ident.ServiceID       `json:"service" msgpack:"service"`
	Software ident.SoftwareVersion `json:"software,omitempty" msgpack:"software"`
	ID       string                `json:"part" msgpack:"part"`
	// Whole is set if ID is the digest of a whole request.
	Whole bool `json:"whole,omitempty" msgpack:"whole"`
}

// String describes the part without its service and software version.
func (p Part) String() string {
	if p.Whole {
		return "the request with digest " + p.ID
	}
	return "part " + p.ID + " of the prompt"
}

// At returns the parts at another software version.
func At(software ident.SoftwareVersion, parts []Part) []Part {
	at := slices.Clone(parts)
	for i := range at {
		at[i].Software = software
	}
	return at
}

// Crash identifies the end of one incarnation of a target.
type Crash struct {
	Target      ident.TargetID    `msgpack:"target"`
	Incarnation ident.Incarnation `msgpack:"incarnation"`
}

// Report is evidence that an instance reports.
type Report struct {
	Crashed  []Crashed  `msgpack:"crashed"`
	Answered []Answered `msgpack:"answered"`
	Released []Released `msgpack:"released"`
}

// Empty reports whether r holds no evidence.
func (r Report) Empty() bool { return len(r.Crashed)+len(r.Answered)+len(r.Released) == 0 }

// Add adds the evidence of another report.
func (r *Report) Add(other Report) {
	r.Crashed = append(r.Crashed, other.Crashed...)
	r.Answered = append(r.Answered, other.Answered...)
	r.Released = append(r.Released, other.Released...)
}

// Announced returns when a target announced itself last in the incarnation that a crash would have
// ended, and false if it is not known or has another one by now.
type Announced func(Crash) (clock.Time, bool)

// Aged returns a copy of r with evidence that is older by d.
func (r Report) Aged(d time.Duration) Report {
	var aged Report
	aged.Add(r)
	for i := range aged.Crashed {
		aged.Crashed[i].Age += d
	}
	for i := range aged.Answered {
		aged.Answered[i].Age += d
	}
	for i := range aged.Released {
		aged.Released[i].Age += d
	}
	return aged
}

// Crashed states that a request with the part had no event of an answer when its engine crashed.
type Crashed struct {
	Part  Part  `msgpack:"part"`
	Crash Crash `msgpack:"crash"`
	Head  bool  `msgpack:"head"`  // the head of the answer had come
	Depth int   `msgpack:"depth"` // number of parts before it in the prompt
	// Sent is the time from sending the request until its target crashed; 0 if it is not known.
	Sent time.Duration `msgpack:"sent"`
	Age  time.Duration `msgpack:"age"`
}

// Answered states how many answers of an instance have begun on a part lately.
type Answered struct {
	Part     Part             `msgpack:"part"`
	Instance ident.InstanceID `msgpack:"instance"`
	Count    int              `msgpack:"count"`
	Age      time.Duration    `msgpack:"age"`
}

// Released states that an operator ended the quarantine of a part, at all versions.
type Released struct {
	Service ident.ServiceID `msgpack:"service"`
	ID      string          `msgpack:"part"`
	Age     time.Duration   `msgpack:"age"`
}

// Suspect is a part with more evidence against it than for it.
type Suspect struct {
	Part        Part `json:"part" msgpack:"part"`
	Crashes     int  `json:"crashes" msgpack:"crashes"`
	Answers     int  `json:"answers" msgpack:"answers"`
	Quarantined bool `json:"quarantined" msgpack:"quarantined"`
	// Until is the time until a quarantine ends unless there are more crashes.
	Until desired.Duration `json:"until" msgpack:"until"`
	// Proof holds the last crashes of a part in quarantine, which prove it to a voter that has started.
	Proof []Crashed `json:"-" msgpack:"proof"`
}

// SameSuspects reports whether two lists name the same suspects for the same reasons.
func SameSuspects(a, b []Suspect) bool {
	return slices.EqualFunc(a, b, func(a, b Suspect) bool {
		return a.Part == b.Part && a.Crashes == b.Crashes && a.Answers == b.Answers && a.Quarantined == b.Quarantined
	})
}
