// Package quorum keeps a log that a majority of disks agrees on.
//
// The model. Members replicate a log of entries under a leader that a majority
// of voters elected for a term. An entry is committed once a majority has
// synced it; committed entries are never lost or reordered. Three rules go
// beyond the usual description of this protocol:
//
//   - A member is its disk. Messages name disks, not instances, so that an
//     instance whose disk came back empty or old cannot vote in the name of the
//     disk that was lost.
//   - Voters refuse to elect anyone while they hear a leader. The leader
//     therefore holds a lease, measured from the sending of a broadcast that a
//     majority answered, and it acts only within that lease.
//   - Members change by one voter at a time, and only after the leader has
//     committed an entry of its own term.
//
// Core is free of clocks, goroutines, disks and sockets: time and events go in
// through Step, actions come out. Node runs a Core on a Disk and a transport.
package quorum

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

const (
	maxBatchEntries  = 512 // entries in one Append
	maxBatchBytes    = 1 << 20
	maxInflight      = 4096 // entries sent to a member and not acknowledged
	promotionBacklog = 64   // entries that a learner may lack when it is promoted
)

// Config is what a Core is started with.
type Config struct {
	Self   ident.DiskID
	Boot   Boot
	Timing Timing
	Seed   uint64 // of the election timeouts
}

// StoredState is what a disk held when the member started.
type StoredState struct {
	Hard    HardState
	Meta    SnapshotMeta // of the newest snapshot; its membership starts the log
	Entries []Entry
}

// progress is what the leader knows of one member.
type progress struct {
	match     Index
	matchBoot Boot // run of the member that acknowledged match
	next      Index
	round     Round // newest round that the member answered
	snapshot  clock.Time
	heard     clock.Time
	rejected  bool // its disk lost acknowledged entries
}

type pendingRead struct {
	id    uint64
	round Round
	index Index
}

// pendingSync is what this member may count once a Persist is synced.
type pendingSync struct {
	seq   uint64
	term  Term
	vote  bool
	index Index
}

type sentRound struct {
	round Round
	at    clock.Time
}

// Core is the protocol state of one member. Use New.
type Core struct {
	cfg Config
	rng *rand.Rand

	hard    HardState
	meta    SnapshotMeta // the log starts after meta.Index
	entries []Entry      // entries[i].Index == meta.Index+1+i
	commit  Index
	applied Index // last index handed over by Apply

	members      Membership
	membersIndex Index

	role     Role
	leader   ident.DiskID
	votes    map[ident.DiskID]bool
	deadline clock.Time // of the election timeout
	heard    clock.Time // last word of a leader
	started  clock.Time
	begun    bool
	rejected bool

	progress    map[ident.DiskID]*progress
	round       Round
	sent        []sentRound
	nextBeat    clock.Time
	lease       clock.Time
	quorumAt    clock.Time // sending time of the newest round that a quorum answered
	reads       []pendingRead
	termStart   Index // index of the entry that opened this leader's term
	transferred clock.Time

	seq    uint64
	syncs  []pendingSync
	out    []Action
	synced Index // highest index synced by this member
}

// New returns a Core that continues from what its disk held.
func New(cfg Config, stored StoredState) *Core {
	c := &Core{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Boot))),
		hard:    stored.Hard,
		meta:    stored.Meta,
		entries: append([]Entry(nil), stored.Entries...),
		commit:  stored.Meta.Index,
		applied: stored.Meta.Index,
	}
	c.synced = c.last()
	c.findMembers()
	return c
}

// Status returns a view of the Core.
func (c *Core) Status() Status {
	leader, _ := c.members.Find(c.leader)
	return Status{
		Role: c.role, Term: c.hard.Term, Leader: leader, LastIndex: c.last(),
		CommitIndex: c.commit, LeaseEnd: c.leaseEnd(), FirstLeadership: c.FirstLeadership(), Members: c.members.clone(), MembersIndex: c.membersIndex,
	}
}

// Ready reports whether this member leads, holds its lease at now and has
// committed an entry of its own term.
func (c *Core) Ready(now clock.Time) bool {
	return c.role == Leader && c.commit >= c.termStart && now.Before(c.leaseEnd())
}

// FirstLeadership reports whether this member leads and no earlier leader can have
// committed anything: its term opens with the first entry after the founding.
func (c *Core) FirstLeadership() bool { return c.role == Leader && c.termStart == foundingIndex+1 }

// MemberState is what the leader knows of a member, for reports and promotion.
type MemberState struct {
	Member      Member
	MatchIndex  Index
	CaughtUp    bool
	Rejected    bool
	LastContact clock.Time // its latest answer, or the beginning of this leadership
}

// MemberStates returns the leader's view of every member, or nil elsewhere.
func (c *Core) MemberStates() []MemberState {
	if c.role != Leader {
		return nil
	}
	var states []MemberState
	for _, m := range c.members.Members {
		p := c.progress[m.Disk]
		if p == nil {
			continue
		}
		match := p.match
		if m.Disk == c.cfg.Self {
			match = c.synced
		}
		states = append(states, MemberState{
			Member:      m,
			MatchIndex:  match,
			CaughtUp:    match+promotionBacklog >= c.last() && match >= c.termStart,
			Rejected:    p.rejected,
			LastContact: p.heard,
		})
	}
	return states
}

// Step advances the Core to now with one event and returns what has to be done,
// in order. Time must not go backwards.
func (c *Core) Step(now clock.Time, ev Event) []Action {
	c.out = nil
	if !c.begun {
		c.begin(now)
	}
	c.endTransfer(now)
	switch ev := ev.(type) {
	case Tick:
		c.tick(now)
	case Receive:
		c.receive(now, ev.Message)
	case Propose:
		c.propose(now, ev.Proposals)
	case Read:
		c.read(now, ev.ID)
	case ChangeMembers:
		c.change(now, ev)
	case Persisted:
		c.persisted(now, ev.Seq)
	case Compacted:
		c.compacted(ev.Meta)
	case TransferLeadership:
		c.transfer(now)
	default:
		panic("quorum: unknown event")
	}
	return c.out
}

func (c *Core) begin(now clock.Time) {
	c.begun = true
	c.started = now
	c.resetDeadline(now)
}

func (c *Core) emit(a Action) { c.out = append(c.out, a) }

func (c *Core) last() Index { return c.meta.Index + Index(len(c.entries)) }

// termAt returns the term of the entry at i; ok is false if i is not in the log.
func (c *Core) termAt(i Index) (t Term, ok bool) {
	switch {
	case i == c.meta.Index:
		return c.meta.Term, true
	case i < c.meta.Index || i > c.last():
		return 0, false
	}
	return c.entries[i-c.meta.Index-1].Term, true
}

func (c *Core) lastTerm() Term {
	t, _ := c.termAt(c.last())
	return t
}

// slice returns the entries from index from on, bounded in count and bytes.
func (c *Core) slice(from Index) []Entry {
	if from > c.last() {
		return nil
	}
	rest := c.entries[from-c.meta.Index-1:]
	size := 0
	for i := range rest {
		size += len(rest[i].Data)
		if i == maxBatchEntries || (i > 0 && size > maxBatchBytes) {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

// findMembers takes the newest membership of the log, committed or not.
func (c *Core) findMembers() {
	for i := len(c.entries) - 1; i >= 0; i-- {
		if c.entries[i].Kind == EntryMembers {
			c.members = c.entries[i].Members
			c.membersIndex = c.entries[i].Index
			return
		}
	}
	c.members = c.meta.Members
	c.membersIndex = c.meta.Index
}

func (c *Core) isVoter(d ident.DiskID) bool {
	m, ok := c.members.Find(d)
	return ok && m.Voter
}

func (c *Core) resetDeadline(now clock.Time) {
	spread := c.cfg.Timing.ElectionMax - c.cfg.Timing.ElectionMin
	d := c.cfg.Timing.ElectionMin
	if spread > 0 {
		d += time.Duration(c.rng.Int64N(int64(spread)))
	}
	c.deadline = now.Add(d)
}

func (c *Core) message(to ident.DiskID) Message {
	return Message{From: c.cfg.Self, To: to, Term: c.hard.Term, Boot: c.cfg.Boot}
}

func (c *Core) persist(p Persist) uint64 {
	c.seq++
	p.Seq = c.seq
	c.emit(p)
	return c.seq
}

func (c *Core) tick(now clock.Time) {
	if c.role == Leader {
		c.leaderTick(now)
		return
	}
	if now.Before(c.deadline) || c.rejected || !c.isVoter(c.cfg.Self) {
		return
	}
	c.campaign(now, true, false)
}

// becomeFollower enters term t. It forgets every role of an earlier term.
func (c *Core) becomeFollower(now clock.Time, t Term, leader ident.DiskID) {
	if t > c.hard.Term {
		c.hard = HardState{Term: t}
		hard := c.hard
		c.persist(Persist{Hard: &hard})
	}
	if c.role == Leader {
		c.refuseReads()
		c.lease = 0
	}
	c.role = Follower
	c.leader = leader
	c.votes = nil
	c.resetDeadline(now)
}

func (c *Core) refuseReads() {
	for _, r := range c.reads {
		c.emit(Refused{ID: r.id, Reason: fault.New(fault.NotLeader, "leadership was lost in term %d", c.hard.Term)})
	}
	c.reads = nil
}

func (c *Core) receive(now clock.Time, m Message) {
	if m.To != c.cfg.Self || c.rejected {
		return
	}
	switch {
	case m.VoteRequest != nil:
		c.onVoteAsk(now, m)
	case m.VoteResponse != nil:
		c.onVoteGive(now, m)
	case m.Append != nil:
		c.onAppend(now, m)
	case m.Ack != nil:
		c.onAck(now, m)
	case m.Install != nil:
		c.onInstall(now, m)
	case m.Elect != nil:
		c.onElectNow(now, m)
	case m.Reject != nil:
		c.rejected = true
		c.becomeFollower(now, c.hard.Term, "")
		c.emit(DiskRejected{})
	}
}

func (c *Core) persisted(now clock.Time, seq uint64) {
	for len(c.syncs) > 0 && c.syncs[0].seq <= seq {
		s := c.syncs[0]
		c.syncs = c.syncs[1:]
		if s.vote {
			c.countSelfVote(now, s.term)
			continue
		}
		if t, ok := c.termAt(s.index); !ok || t != s.term {
			continue // replaced by a later leader
		}
		c.synced = max(c.synced, s.index)
		if c.role == Leader && s.term == c.hard.Term {
			c.advanceCommit(now)
		}
	}
}

// compacted drops the entries that a synced snapshot covers.
func (c *Core) compacted(meta SnapshotMeta) {
	if meta.Index <= c.meta.Index || meta.Index > c.applied {
		return
	}
	keep := c.entries[meta.Index-c.meta.Index:]
	c.entries = append([]Entry(nil), keep...)
	c.meta = meta
}

// applyCommitted hands over what is committed and in the log.
func (c *Core) applyCommitted() {
	upto := min(c.commit, c.last())
	if upto <= c.applied {
		return
	}
	from := c.applied - c.meta.Index
	to := upto - c.meta.Index
	batch := c.entries[from:to:to]
	c.applied = upto
	c.emit(Apply{Entries: batch})
}

// quorumOf returns the largest value that a majority of voters has reached.
func quorumOf[T ~uint64](values []T) T {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
