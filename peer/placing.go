package peer

import (
	"time"

	"github.com/hickoryridge/hickoryridge/fleet"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/cluster/inflight"
	"github.com/hickoryridge/hickoryridge/router"
)

// Ticket names a placement by one run of a placer; 0 is none.
type Ticket uint64

// Place asks a placer for the target of one step of a request.
type Place struct {
	Service     ident.ServiceID `msgpack:"service"`
	Version     string          `msgpack:"version"` // of the model; empty accepts any
	Need        router.Stage    `msgpack:"need"`
	Prompt      ident.Tokens    `msgpack:"prompt"`
	Parts       []router.Part   `msgpack:"parts"` // of the prompt
	Avoid       ident.TargetID  `msgpack:"avoid"` // a target that failed this request
	Urgency     router.Urgency  `msgpack:"urgency"`
	CacheRegion ident.RegionID  `msgpack:"from"` // region of the KV cache to import; empty if none
	// TTFTObjective is the objective for the first token: a request that would wait too long for it is refused; 0 means it is
	// placed however late.
	TTFTObjective time.Duration `msgpack:"within"`
	Remaining     time.Duration `msgpack:"left"`  // after which the request has ended, whatever is told of it
	KnownEngines  int           `msgpack:"known"` // usable engines of the service that the asker knows
}

// Placed answers a Place.
type Placed struct {
	Ticket       Ticket         `msgpack:"ticket"`
	Target       ident.TargetID `msgpack:"target"`
	CacheSource  ident.TargetID `msgpack:"source"` // another target that has more of the prompt cached; empty if none is known
	Cached       ident.Tokens   `msgpack:"cached"` // prompt tokens expected in the prefix cache
	ExpectedTTFT time.Duration  `msgpack:"first"`  // expected time to the first token
	QueueWait    time.Duration  `msgpack:"wait"`   // part of First that other requests cause
	// RetryAfter is the time after which a refused request should come back; 0 if it was placed. Of the other fields
	// a refusal has First only.
	RetryAfter time.Duration `msgpack:"back"`
}

// Progress tells a placer what became of its placements, without a reply.
type Progress struct {
	Notes []Note `msgpack:"notes"`
}

// Note is something that became of a placement.
type Note struct {
	Ticket  Ticket    `msgpack:"ticket"`
	Event   NoteEvent `msgpack:"event"`
	Running int       `msgpack:"running"` // requests at the target, as it told; for NoteLoad
	Slots   int       `msgpack:"slots"`   // requests that fit there; for NoteLoad
}

// NoteEvent says what a Note tells.
type NoteEvent uint8

// The events of placements.
const (
	NoteFirstToken  NoteEvent = iota + 1 // the first token came
	NoteEnded                            // the request has left the target
	NoteWithdrawn                        // the request was not sent to the target after all
	NoteAnswered                         // the target answered
	NoteFailed                           // the target failed the request
	NoteUnreachable                      // the target takes no connection, or another one has its address
	NoteLoad                             // the target told its load
	NoteITLMissed                        // a pause in the answer was longer than its objective
	NoteITLMet                           // no pause in the answer was
)

// Locate asks an instance where it stands.
type Locate struct{}

// Located answers a Locate.
type Located struct {
	Region ident.RegionID `msgpack:"region"`
}

// Failing tells the leader which targets failed requests of an instance for which a placer chooses. The answer is a Sum
// of the targets that failed requests of any.
type Failing struct {
	Instance ident.InstanceID `msgpack:"instance"`
	Loads    inflight.Loads   `msgpack:"loads"`
}

// Works tells the leader what the requests that a placer placed took of the engines, by service, since its last message.
// The answer is a Done.
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
