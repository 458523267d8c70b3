// Package target speaks to back ends: it takes their announcements, keeps the
// table of usable targets, sends requests and streams answers back, and carries
// orders to engines.
//
// A target is used only while its lease lasts. It announces itself to
// any instance with a short lease; instances pull each other's direct
// announcements and count the remaining lease from the moment they asked, so that
// neither a frozen relay nor a delayed reply can make a lease longer. A target
// that leaves says so; its last sequence number stays on record, and no earlier
// announcement revives it.
package target

import (
	"fmt"
	"net"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/strictjson"
)

// Bounds of announcements.
const (
	// MaxLease is the longest lease that a target may ask for. It bounds the time
	// for which a target that went silent still gets new work.
	MaxLease = 2500 * time.Millisecond
	// MaxAnnouncement is the longest announcement in bytes.
	MaxAnnouncement = 1 << 20
	// maxEvents bounds the cache events that the table keeps of one target.
	maxEvents = 256
)

// Announcement is what a target says of itself.
type Announcement struct {
	Target      ident.TargetID    `json:"target" msgpack:"target"`
	Service     ident.ServiceID   `json:"service" msgpack:"service"`
	Address     string            `json:"address" msgpack:"address"`
	Region      ident.RegionID    `json:"region" msgpack:"region"`
	Domain      ident.DomainID    `json:"domain" msgpack:"domain"`
	Incarnation ident.Incarnation `json:"incarnation" msgpack:"incarnation"`
	Sequence    uint64            `json:"sequence" msgpack:"sequence"`
	Lease       desired.Duration  `json:"lease" msgpack:"lease"`
	Leaving     bool              `json:"leaving,omitempty" msgpack:"leaving"`
	Load        Load              `json:"load" msgpack:"load"`
	Engine      *EngineReport     `json:"engine,omitempty" msgpack:"engine"`
	Cache       []CacheEvent      `json:"cache,omitempty" msgpack:"cache"`
}

// Load is a target's report of its load. It may be old when it arrives.
type Load struct {
	Waiting ident.Tokens          `json:"waiting" msgpack:"waiting"`           // prompt tokens not processed yet
	Running int                   `json:"running" msgpack:"running"`           // requests in progress
	Slots   int                   `json:"slots,omitempty" msgpack:"slots"`     // requests that fit; 0 means unknown
	Prefill ident.TokensPerSecond `json:"prefill,omitempty" msgpack:"prefill"` // rate for prompt tokens
	Decode  ident.TokensPerSecond `json:"decode,omitempty" msgpack:"decode"`   // rate for answers at a full batch
	// Measured is the wall clock at the measurement, in milliseconds since the Unix
	// epoch; 0 means just before the announcement.
	Measured int64 `json:"measured,omitempty" msgpack:"measured"`
}

// maxAge bounds the age of a report, whatever the target's clock says.
const maxAge = 30 * time.Second

// Age returns how long before now the load was measured, as far as the clocks of
// target and instance agree.
func (l Load) Age(now time.Time) time.Duration {
	if l.Measured == 0 {
		return 0
	}
	age := now.Sub(time.UnixMilli(l.Measured))
	return min(max(age, 0), maxAge)
}

// EngineReport is what an engine says of its model and role.
type EngineReport struct {
	Role    desired.Role  `json:"role" msgpack:"role"`
	Model   string        `json:"model" msgpack:"model"`
	Version string        `json:"version" msgpack:"version"`
	Order   ident.OrderID `json:"order,omitempty" msgpack:"order"` // newest order that it carried out
	Busy    bool          `json:"busy,omitempty" msgpack:"busy"`   // carrying out an order
}

// CacheEvent tells of pieces that entered or left an engine's prefix cache. A
// piece is named by its chained hash in hexadecimal.
type CacheEvent struct {
	Sequence uint64   `json:"sequence" msgpack:"sequence"`
	Stored   []string `json:"stored,omitempty" msgpack:"stored"`
	Evicted  []string `json:"evicted,omitempty" msgpack:"evicted"`
}

// ParseAnnouncement decodes and validates an announcement.
func ParseAnnouncement(data []byte) (Announcement, strictjson.Faults) {
	var a Announcement
	if fs := strictjson.Decode(data, &a); len(fs) > 0 {
		return a, fs
	}
	return a, a.validate()
}

func (a Announcement) validate() strictjson.Faults {
	var fs strictjson.Faults
	required := []struct{ path, value string }{
		{"$.target", string(a.Target)}, {"$.service", string(a.Service)}, {"$.region", string(a.Region)},
	}
	for _, f := range required {
		if f.value == "" {
			fs.Add(f.path, "is empty")
		}
	}
	if _, _, err := net.SplitHostPort(a.Address); err != nil {
		fs.Add("$.address", "want host:port, not %q", a.Address)
	}
	if a.Incarnation == 0 {
		fs.Add("$.incarnation", "want a number from 1 up")
	}
	if a.Sequence == 0 {
		fs.Add("$.sequence", "want a number from 1 up")
	}
	if d := time.Duration(a.Lease); !a.Leaving && (d <= 0 || d > MaxLease) {
		fs.Add("$.lease", "want more than 0s and at most %v, not %v", MaxLease, d)
	}
	if a.Load.Waiting < 0 || a.Load.Running < 0 || a.Load.Slots < 0 || a.Load.Prefill < 0 || a.Load.Decode < 0 {
		fs.Add("$.load", "has a negative number")
	}
	for i, e := range a.Cache {
		if e.Sequence == 0 {
			fs.Add(fmt.Sprintf("$.cache[%d].sequence", i), "want a number from 1 up")
		}
	}
	return fs
}
