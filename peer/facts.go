package peer

import (
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/cluster/fact"
	"github.com/hickoryridge/hickoryridge/internal/cluster/feed"
	"github.com/hickoryridge/hickoryridge/internal/cluster/quarantine"
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
	Since feed.Cursor `msgpack:"since"`
}

// Relayed is the reply to a Relay.
type Relayed struct {
	Batches []fact.Batch `msgpack:"batches"`
	Next    feed.Cursor  `msgpack:"next"`
}

func (*Tell) kind() kind    { return kindTell }
func (*Learn) kind() kind   { return kindLearn }
func (*Learned) kind() kind { return kindLearned }
func (*Relay) kind() kind   { return kindRelay }
func (*Relayed) kind() kind { return kindRelayed }
