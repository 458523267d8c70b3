package peer

import (
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/cluster/fact"
	"github.com/hickoryridge/hickoryridge/internal/cluster/quarantine"
	"github.com/hickoryridge/hickoryridge/internal/cluster/stream"
)

// Tell tells a voter facts. It has no reply.
type Tell struct {
	Instance ident.InstanceID `msgpack:"instance"`
	Boot     ident.BootID     `msgpack:"boot"`
	Sequence fact.Sequence    `msgpack:"sequence"`
	Batch    fact.Batch       `msgpack:"batch"`
}

// Learn requests from a voter what follows from the facts. The voter delays the reply, for a bounded time, until
// that differs from what the sender has.
type Learn struct {
	Instance ident.InstanceID `msgpack:"instance"`
	Boot     ident.BootID     `msgpack:"boot"`
	Told     fact.Sequence    `msgpack:"told"` // last batch that was told to this voter
	Seen     fact.Mark        `msgpack:"seen"`
}

// Learned is the reply to a Learn.
type Learned struct {
	Missing  bool                 `msgpack:"missing"` // the last batch has not arrived
	Mark     fact.Mark            `msgpack:"mark"`
	Suspects []quarantine.Suspect `msgpack:"suspects"`
}

// Relay requests from a voter what it has been told since a cursor. The reply is delayed, for a bounded
// time, until there is something.
type Relay struct {
	Since fact.Cursor `msgpack:"since"`
}

// Relayed is the reply to a Relay.
type Relayed struct {
	Batch fact.Batch  `msgpack:"batch"`
	Next  fact.Cursor `msgpack:"next"`
}

// Recall requests from a voter what began a stream.
type Recall struct {
	Stream  stream.Key      `msgpack:"stream"`
	Service ident.ServiceID `msgpack:"service"` // that the stream belongs to, if it is not known
	// Within is the time within which the stream began.
	Within time.Duration `msgpack:"within"`
}

// Recalled is the reply to a Recall.
type Recalled struct {
	Known  bool          `msgpack:"known"`
	Origin stream.Origin `msgpack:"origin"` // if Known or Sole
	// Sole means that the stream is not known, but that the service has had targets of one software
	// version only. Several means that it has had targets of more.
	Sole    bool `msgpack:"sole"`
	Several bool `msgpack:"several"`
}

func (*Tell) kind() kind     { return kindTell }
func (*Learn) kind() kind    { return kindLearn }
func (*Learned) kind() kind  { return kindLearned }
func (*Relay) kind() kind    { return kindRelay }
func (*Relayed) kind() kind  { return kindRelayed }
func (*Recall) kind() kind   { return kindRecall }
func (*Recalled) kind() kind { return kindRecalled }
