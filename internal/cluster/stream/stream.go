// Package stream remembers which software version of which service began a stream.
//
// What two software versions write does not fit together, and engines do not check it. A stream that
// has broken off may therefore go on only at a target of the version that began it. Its caller may
// take it up at any instance, by the id of the request that brought its first event; the instance
// that began it may have ended by then, together with all others like it.
//
// Each instance remembers the streams that it began, and publishes them to the voters, which remember all. A record is kept as
// long as the stream can be taken up. If nobody has one, the stream may go on only where a single
// version can have begun it; otherwise it is refused, because a wrong guess joins two versions
// without a trace.
package stream

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// MinRetention is the shortest time for which a stream is remembered.
const MinRetention = 10 * time.Second

// maxKept bounds the streams that are remembered: twice the 5,100 a second of the planned peak over
// MinRetention.
const maxKept = 100_000

// Key identifies a stream: the hash of the id of the request that brought its first event.
type Key uint64

// KeyOf returns the key of a request's id.
func KeyOf(id string) Key { return Key(xxhash.Sum64String(id)) }

// Origin is what began a stream.
type Origin struct {
	Service  ident.ServiceID       `msgpack:"service"`
	Software ident.SoftwareVersion `msgpack:"software"`
}

// Begun states that streams began at one origin.
type Begun struct {
	Origin Origin        `msgpack:"origin"`
	Left   time.Duration `msgpack:"left"` // time for which the streams may be taken up
	Keys   []Key         `msgpack:"keys"`
}

// Retention returns how long to remember a stream that may last for the given time and may be taken up for
// as long again.
func Retention(lasting time.Duration) time.Duration { return max(MinRetention, 2*lasting) }

// Memory remembers streams. Use NewMemory. It is not safe for concurrent use.
type Memory struct {
	origins []Origin // by index in records
	records map[Key]record
	expiry  []expiry // in the order of arrival
	started clock.Time
}

type record struct {
	origin  int32
	expires clock.Time
}

// expiry is a key with the time at which it was to expire when it was recorded.
type expiry struct {
	key Key
	at  clock.Time
}

// NewMemory returns an empty memory that starts now.
func NewMemory(now clock.Time) *Memory {
	return &Memory{records: map[Key]record{}, started: now}
}

// Record remembers streams. A stream that is known already is kept longer if necessary.
func (m *Memory) Record(now clock.Time, b Begun) {
	if b.Left <= 0 {
		return
	}
	origin, expires := m.intern(b.Origin), now.Add(b.Left)
	for _, k := range b.Keys {
		known, ok := m.records[k]
		if ok && !known.expires.Before(expires) {
			continue
		}
		m.records[k] = record{origin, expires}
		m.expiry = append(m.expiry, expiry{k, expires})
	}
	m.expire(now)
}

// intern returns the index of an origin.
func (m *Memory) intern(o Origin) int32 {
	i := slices.Index(m.origins, o)
	if i < 0 {
		i = len(m.origins)
		m.origins = append(m.origins, o)
	}
	return int32(i)
}

// expire removes records from the oldest on, those that have expired and those that are too many.
func (m *Memory) expire(now clock.Time) {
	n := 0
	for ; n < len(m.expiry); n++ {
		e := m.expiry[n]
		if e.at.After(now) && len(m.records) <= maxKept {
			break
		}
		if m.records[e.key].expires <= e.at {
			delete(m.records, e.key)
		}
	}
	m.expiry = m.expiry[n:]
}

// Find returns the origin of a stream, and false if it is not known.
func (m *Memory) Find(now clock.Time, k Key) (Origin, bool) {
	r, ok := m.records[k]
	if !ok || !now.Before(r.expires) {
		return Origin{}, false
	}
	return m.origins[r.origin], true
}

// All returns all records, for a voter that has started. Streams that began at one origin may be taken up
// for as long as the last of them.
func (m *Memory) All(now clock.Time) []Begun {
	all := make([]Begun, len(m.origins))
	for i, o := range m.origins {
		all[i].Origin = o
	}
	for k, r := range m.records {
		if left := r.expires.Sub(now); left > 0 {
			b := &all[r.origin]
			b.Left = max(b.Left, left)
			b.Keys = append(b.Keys, k)
		}
	}
	return slices.DeleteFunc(all, func(b Begun) bool { return len(b.Keys) == 0 })
}

// Covers reports whether the memory has been kept for the given time, so that a stream which began since then
// would be known.
func (m *Memory) Covers(now clock.Time, d time.Duration) bool { return now.Sub(m.started) >= d }

// Len returns the number of records.
func (m *Memory) Len() int { return len(m.records) }
