package peer

import (
	"time"

	"github.com/hickoryridge/hickoryridge/admit"
	"github.com/hickoryridge/hickoryridge/fleet"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/cluster/inflight"
	"github.com/hickoryridge/hickoryridge/router"
)

// Ticket identifies a placement within one run of a placer; 0 means none.
type Ticket uint64

// Place requests the target for one stage of a request from a placer.
type Place struct {
	Service     ident.ServiceID `msgpack:"service"`
	Version     string          `msgpack:"version"` // version of the model; empty accepts any
	Stage       router.Stage    `msgpack:"need"`
	Prompt      ident.Tokens    `msgpack:"prompt"`
	Parts       []router.Part   `msgpack:"parts"` // parts of the prompt, for cache lookup
	Avoid       ident.TargetID  `msgpack:"avoid"` // target that failed an earlier attempt
	Urgency     router.Urgency  `msgpack:"urgency"`
	CacheRegion ident.RegionID  `msgpack:"from"` // region of the KV cache to import; empty if none
	// TTFTObjective is the objective for the time to the first token. The placer refuses a request
	// that would miss it; 0 means that the request is placed in any case.
	TTFTObjective time.Duration `msgpack:"within"`
	// Remaining is the time until the placement expires, with or without notes.
	Remaining time.Duration `msgpack:"left"`
	// KnownEngines is the number of usable engines of the service that the sender has recorded.
	KnownEngines int `msgpack:"known"`
	// Software is the only software version whose targets may be chosen; nil accepts any.
	Software *ident.SoftwareVersion `msgpack:"software"`
	// Entry is what the request brings into the contest for engines; nil if it is not deferred, but refused where it
	// would wait for too long.
	Entry *ContestEntry `msgpack:"entry"`
}

// ContestEntry is what a request brings into the contest for engines; see admit.Contest.
type ContestEntry struct {
	Workspace ident.TenantID `msgpack:"workspace"` // empty if the request has none
	Elapsed   time.Duration  `msgpack:"spent"`     // since the request arrived at the sender
	Deferred  bool           `msgpack:"deferred"`  // an earlier step of the request was deferred
}

// Placed is the reply to a Place.
type Placed struct {
	Ticket Ticket         `msgpack:"ticket"`
	Target ident.TargetID `msgpack:"target"`
	// CacheSource is another target that has more of the prompt cached; empty if none is known.
	CacheSource ident.TargetID `msgpack:"source"`
	Cached      ident.Tokens   `msgpack:"cached"` // prompt tokens expected in the prefix cache
	// ExpectedTTFT is the expected time to the first token, including QueueWait.
	ExpectedTTFT time.Duration `msgpack:"first"`
	QueueWait    time.Duration `msgpack:"wait"` // part of ExpectedTTFT caused by other requests
	// RetryAfter is the delay after which a refused request should be retried; 0 if it was placed. A
	// refusal sets only ExpectedTTFT besides.
	RetryAfter time.Duration `msgpack:"back"`
	// Permitted means that the target has a rate limit and that the placer used a permit for the
	// request.
	Permitted bool `msgpack:"permitted"`
	// Limited means that no target is named because all have rate limits and the placer has no
	// permits.
	Limited bool `msgpack:"limited"`
	// Standing is the place of the request among those of its priority.
	Standing admit.Standing `msgpack:"standing"`
}

// Progress reports events of placements to their placer. It has no reply.
type Progress struct {
	Notes []Note `msgpack:"notes"`
}

// Note reports one event of a placement.
type Note struct {
	Ticket  Ticket    `msgpack:"ticket"`
	Event   NoteEvent `msgpack:"event"`
	Running int       `msgpack:"running"` // requests at the target, as it reports; for NoteLoad
	Slots   int       `msgpack:"slots"`   // request slots at the target; for NoteLoad
	// Rate is the rate limit that the target named; for NoteLimited.
	Rate *ident.RequestsPerSecond `msgpack:"rate"`
	// Pace is the time that work takes on the target's host, in hundredths of the usual; for NoteLoad, 0 if
	// the target states none.
	Pace int `msgpack:"pace"`
}

// NoteEvent is the kind of a Note.
type NoteEvent uint8

// Events of placements.
const (
	NoteFirstToken NoteEvent = iota + 1 // the first token arrived
	NoteEnded                           // the request has left the target
	NoteWithdrawn                       // the request was not sent to the target
	NoteAnswered                        // the target responded
	NoteFailed                          // the target failed the request
	// NoteUnreachable: the target accepts no connection, or its address belongs to another one.
	NoteUnreachable
	NoteLoad // the target reported its load
	// NoteITLMissed: a gap between tokens exceeded the inter-token latency objective.
	NoteITLMissed
	NoteITLMet // no gap between tokens exceeded the objective
	// NoteLimited: the target named a rate limit in its answer, or had named one to the instance
	// before.
	NoteLimited
	NoteUnlimited // the target named no rate limit in its answer
	NoteLeaving   // the target said in its answer that it leaves
)

// Locate requests the region of an instance.
type Locate struct{}

// Located is the reply to a Locate.
type Located struct {
	Region ident.RegionID `msgpack:"region"`
}

// Failing reports to the leader which targets failed requests of an instance that uses a placer.
// The reply is a Sum of the targets that failed requests of any instance.
type Failing struct {
	Instance ident.InstanceID `msgpack:"instance"`
	Loads    inflight.Loads   `msgpack:"loads"`
}

// Works reports to the leader, by service, the load on the engines of the requests that a placer
// places. The prefill load is the average since the placer's last report. The reply is a Done.
type Works struct {
	Instance ident.InstanceID               `msgpack:"instance"`
	Services map[ident.ServiceID]fleet.Load `msgpack:"services"`
}

func (*Works) kind() kind    { return kindWorks }
func (*Locate) kind() kind   { return kindLocate }
func (*Located) kind() kind  { return kindLocated }
func (*Failing) kind() kind  { return kindFailing }
func (*Place) kind() kind    { return kindPlace }
func (*Placed) kind() kind   { return kindPlaced }
func (*Progress) kind() kind { return kindProgress }
