package peer

import (
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/cluster/fact"
	"github.com/hickoryridge/hickoryridge/internal/cluster/quarantine"
	"github.com/hickoryridge/hickoryridge/internal/cluster/stream"
)

// Publish reports facts to a voter. It has no reply.
type Publish struct {
	Instance ident.InstanceID `msgpack:"instance"`
	Boot     ident.BootID     `msgpack:"boot"`
	Sequence fact.Sequence    `msgpack:"sequence"`
	Batch    fact.Batch       `msgpack:"batch"`
}

// Watch requests from a voter what follows from the facts. The voter delays the reply, for a bounded time, until
// that differs from what the sender has.
type Watch struct {
	Instance ident.InstanceID `msgpack:"instance"`
	Boot     ident.BootID     `msgpack:"boot"`
	Last     fact.Sequence    `msgpack:"last"` // last batch that was published to this voter
	Seen     fact.Mark        `msgpack:"seen"`
}

// Watched is the reply to a Watch.
type Watched struct {
	Missing  bool                 `msgpack:"missing"` // the last batch has not arrived
	Mark     fact.Mark            `msgpack:"mark"`
	Suspects []quarantine.Suspect `msgpack:"suspects"`
}

// Relay requests from a voter what instances have published to it since a cursor, or all facts that it has
// for a cursor of another run. The reply is delayed, for a bounded time, until there is something.
type Relay struct {
	Since fact.Cursor `msgpack:"since"`
}

// Relayed is the reply to a Relay.
type Relayed struct {
	Batch fact.Batch  `msgpack:"batch"`
	Next  fact.Cursor `msgpack:"next"`
}

// FindStream requests from a voter what began a stream.
type FindStream struct {
	Stream  stream.Key      `msgpack:"stream"`
	Service ident.ServiceID `msgpack:"service"` // that the stream belongs to, if it is not known
	// Within is the time within which the stream began.
	Within time.Duration `msgpack:"within"`
}

// StreamFound is the reply to a FindStream.
type StreamFound struct {
	Known  bool          `msgpack:"known"`
	Origin stream.Origin `msgpack:"origin"` // if Known or Sole
	// Sole means that the stream is not known, but that the service has had targets of one software
	// version only. Several means that it has had targets of more.
	Sole    bool `msgpack:"sole"`
	Several bool `msgpack:"several"`
}

func (*Publish) kind() kind     { return kindPublish }
func (*Watch) kind() kind       { return kindWatch }
func (*Watched) kind() kind     { return kindWatched }
func (*Relay) kind() kind       { return kindRelay }
func (*Relayed) kind() kind     { return kindRelayed }
func (*FindStream) kind() kind  { return kindFindStream }
func (*StreamFound) kind() kind { return kindStreamFound }
