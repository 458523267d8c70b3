// Package target tracks the back ends that are available: it accepts their
// announcements, maintains the table of usable targets, and replicates that table
// between instances.
//
// A target is used only until its lease expires. It announces itself to any
// instance with a short lease. Instances pull each other's direct announcements
// and count the remaining lease from the time of their request, so that neither a
// suspended relay nor a delayed reply can extend a lease. A target that shuts down
// announces that it is leaving, or others report that it does. The table retains its
// last sequence number, or the last start that has left, so that no earlier announcement
// makes it usable again; see Table.Depart.
package target

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/strictjson"
)

// HeaderRequestRate is the header in which a target names, in an answer, the requests per second that
// it takes from all instances together, as a decimal number.
const HeaderRequestRate = "Max-Request-Rate"

// HeaderLeaving is the header in which a target says, in an answer, that it leaves. Its value is "1".
const HeaderLeaving = "Target-Leaving"

// Bounds of announcements.
const (
	// MaxLease is the longest lease that a target may request. It bounds the time
	// for which a target that has stopped announcing itself still receives new
	// requests.
	MaxLease = 2500 * time.Millisecond
	// MaxAnnouncement is the size limit of an announcement in bytes.
	MaxAnnouncement = 1 << 20
	// MaxSlots is the largest number of requests that a target may say it processes at once.
	MaxSlots = 1 << 20
	// maxCacheEvents is the number of cache events that the table retains per target.
	maxCacheEvents = 256
)

// Announcement is a target's registration: its identity, address, lease and load.
// Announcements of one target are ordered by Incarnation, then by Sequence.
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
	// Software is the version of the target's software.
	Software ident.SoftwareVersion `json:"software,omitempty" msgpack:"software"`
	// Reclaimable means that the target's provider may take it back, with short notice.
	Reclaimable bool `json:"reclaimable,omitempty" msgpack:"reclaimable"`
}

// Load is the load that a target reports. It may be out of date when it arrives.
type Load struct {
	Waiting ident.Tokens          `json:"waiting" msgpack:"waiting"`           // prompt tokens not yet processed
	Running int                   `json:"running" msgpack:"running"`           // requests in progress
	Slots   int                   `json:"slots,omitempty" msgpack:"slots"`     // maximum concurrent requests; 0 means unknown
	Prefill ident.TokensPerSecond `json:"prefill,omitempty" msgpack:"prefill"` // prefill rate for prompt tokens
	Decode  ident.TokensPerSecond `json:"decode,omitempty" msgpack:"decode"`   // decode rate at a full batch
	// Measured is the wall-clock time of the measurement, in milliseconds since the
	// Unix epoch. 0 means that the load was measured just before the announcement.
	Measured int64 `json:"measured,omitempty" msgpack:"measured"`
}

// maxLoadAge caps the age of a load report, because the target's clock may be wrong.
const maxLoadAge = 30 * time.Second

// Age returns the time from the measurement of the load to now, between 0 and
// maxLoadAge. It is wrong by the difference between the clocks of target and instance.
func (l Load) Age(now time.Time) time.Duration {
	if l.Measured == 0 {
		return 0
	}
	age := now.Sub(time.UnixMilli(l.Measured))
	return min(max(age, 0), maxLoadAge)
}

// EngineReport is the part of an announcement that only engines send.
type EngineReport struct {
	Role    desired.Role  `json:"role" msgpack:"role"`
	Model   string        `json:"model" msgpack:"model"`
	Version string        `json:"version" msgpack:"version"`
	Order   ident.OrderID `json:"order,omitempty" msgpack:"order"` // latest order that the engine has completed
	Busy    bool          `json:"busy,omitempty" msgpack:"busy"`   // an order is in progress
}

// CacheEvent lists blocks that entered or left an engine's prefix cache. A block is
// identified by its chained hash in hexadecimal.
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

// ValidAddress reports whether an address is a host with a port that can be connected to.
func ValidAddress(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || host == "" {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
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
	if !ValidAddress(a.Address) {
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
	if a.Load.Slots > MaxSlots {
		fs.Add("$.load.slots", "want at most %d, not %d", MaxSlots, a.Load.Slots)
	}
	if a.Load.Waiting < 0 || a.Load.Running < 0 || a.Load.Slots < 0 || a.Load.Prefill < 0 || a.Load.Decode < 0 {
		fs.Add("$.load", "must not contain negative values")
	}
	for i, e := range a.Cache {
		if e.Sequence == 0 {
			fs.Add(fmt.Sprintf("$.cache[%d].sequence", i), "want a number from 1 up")
		}
	}
	return fs
}
