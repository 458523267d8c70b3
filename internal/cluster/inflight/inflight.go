// Package inflight sums the load and the failures of all instances at each target.
//
// Load pattern: several instances fill the queue of an engine that does not report its length. Each
// instance considers the engine idle and sends its long prompts there, while other engines have
// capacity. Because an instance counts its own unanswered prompts exactly, the sum over all
// instances is the length of the queue.
//
// Every instance reports its load at the targets to one collector a few times per second and
// receives the sums over all instances. The load of an instance that stops reporting expires,
// because its requests end with it.
//
// Sums holds no lock and reads no clock: the caller serializes access and passes the time.
package inflight

import (
	"errors"
	"math"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// instanceTimeout is the time after which the last report of an instance expires.
const instanceTimeout = 1500 * time.Millisecond

// Load is the load of one instance, or of all instances, at a target.
type Load struct {
	Waiting ident.Tokens // prompt tokens of requests without a first token
	// Answered and Failed count the answers of a target that had failures recently, with
	// exponential decay.
	Answered Count
	Failed   Count
}

// Number of fields in an encoded Load, which is an array: the waiting tokens alone, as earlier
// versions read it, or all three fields.
const (
	fieldsWaiting = 1
	fieldsAll     = 3
)

var (
	_ msgpack.CustomEncoder = Load{}
	_ msgpack.CustomDecoder = (*Load)(nil)
)

// EncodeMsgpack encodes l, without the counts if no request failed.
func (l Load) EncodeMsgpack(enc *msgpack.Encoder) error {
	if l.Failed == 0 {
		return errors.Join(enc.EncodeArrayLen(fieldsWaiting), enc.EncodeInt(int64(l.Waiting)))
	}
	return errors.Join(
		enc.EncodeArrayLen(fieldsAll), enc.EncodeInt(int64(l.Waiting)), enc.EncodeInt(int64(l.Answered)), enc.EncodeInt(int64(l.Failed)),
	)
}

// DecodeMsgpack decodes l. It returns a FrameInvalid fault if the number of fields is unknown.
func (l *Load) DecodeMsgpack(dec *msgpack.Decoder) error {
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n != fieldsWaiting && n != fieldsAll {
		return fault.New(fault.FrameInvalid, "load has %d fields, want 1 or 3", n)
	}
	var fields [fieldsAll]int64
	for i := range n {
		if fields[i], err = dec.DecodeInt64(); err != nil {
			return err
		}
	}
	*l = Load{Waiting: ident.Tokens(fields[0]), Answered: Count(fields[1]), Failed: Count(fields[2])}
	return nil
}

// Count is a number of answers in hundredths, so that sums are exact.
type Count int64

const hundredths = 100

// CountOf rounds a number of answers to hundredths.
func CountOf(n float64) Count { return Count(math.Round(n * hundredths)) }

// Value returns the number of answers.
func (c Count) Value() float64 { return float64(c) / hundredths }

// Loads holds the loads of the targets that have any.
type Loads map[ident.TargetID]Load

type instanceLoads struct {
	loads Loads
	at    clock.Time
}

// Sums holds the last reported loads of every instance and their sums. Use New. It is not safe for
// concurrent use.
type Sums struct {
	byInstance map[ident.InstanceID]instanceLoads
	total      Loads
}

// New returns empty sums.
func New() *Sums { return &Sums{byInstance: map[ident.InstanceID]instanceLoads{}, total: Loads{}} }

// Put replaces the loads of an instance.
func (s *Sums) Put(now clock.Time, id ident.InstanceID, loads Loads) {
	s.add(s.byInstance[id].loads, -1)
	s.byInstance[id] = instanceLoads{loads, now}
	s.add(loads, +1)
}

// Total returns the sums over the instances that reported recently, for the targets that have at
// least the given number of waiting tokens or had failures. Smaller queues are left out, because
// they drain soon and most targets of a large fleet have one.
func (s *Sums) Total(now clock.Time, least ident.Tokens) Loads {
	for id, t := range s.byInstance {
		if now.Sub(t.at) > instanceTimeout {
			s.add(t.loads, -1)
			delete(s.byInstance, id)
		}
	}
	total := Loads{}
	for id, l := range s.total {
		if l.Waiting >= least || l.Failed > 0 {
			total[id] = l
		}
	}
	return total
}

// Failing returns the sums for the targets that had failures.
func (s *Sums) Failing(now clock.Time) Loads {
	return s.Total(now, math.MaxInt64)
}

func (s *Sums) add(loads Loads, sign int) {
	for id, l := range loads {
		sum := s.total[id]
		sum.Waiting += ident.Tokens(sign) * l.Waiting
		sum.Answered += Count(sign) * l.Answered
		sum.Failed += Count(sign) * l.Failed
		if sum == (Load{}) {
			delete(s.total, id)
			continue
		}
		s.total[id] = sum
	}
}
