// Package placer selects the instance that chooses targets for all instances of a region.
//
// Voters can act as placers. For a service, all instances of a region send their requests to the
// same one of the region's voters, selected by rendezvous hashing, as long as it replies at once. A
// voter that does not is skipped for some time, and the next one receives the requests. Placers are
// not elected, and correctness does not depend on there being only one, because their replies are
// advice.
//
// Picker selects the voter. It holds no lock and reads no clock: the caller serializes access and
// passes the time.
package placer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// UnresponsiveTime is the time for which a voter that did not reply at once is skipped.
const UnresponsiveTime = 500 * time.Millisecond

// Picker selects placers among the voters of one region. Use NewPicker. It is not safe for
// concurrent use.
type Picker struct {
	region    ident.RegionID
	regions   map[ident.InstanceID]ident.RegionID // of the voters that reported their region
	skipUntil map[ident.InstanceID]clock.Time     // voters that are skipped, and until when
}

// NewPicker returns a picker for an instance of the given region.
func NewPicker(region ident.RegionID) *Picker {
	return &Picker{region: region, regions: map[ident.InstanceID]ident.RegionID{}, skipUntil: map[ident.InstanceID]clock.Time{}}
}

// SetRegion sets the region of a voter.
func (p *Picker) SetRegion(id ident.InstanceID, region ident.RegionID) { p.regions[id] = region }

// InRegion reports whether a voter is known to be in the picker's region.
func (p *Picker) InRegion(id ident.InstanceID) bool { return p.regions[id] == p.region }

// UnknownRegion returns the voters whose region is not known.
func (p *Picker) UnknownRegion(voters []ident.InstanceID) []ident.InstanceID {
	var unknown []ident.InstanceID
	for _, id := range voters {
		if _, ok := p.regions[id]; !ok {
			unknown = append(unknown, id)
		}
	}
	return unknown
}

// MarkUnresponsive causes a voter that did not reply at once to be skipped for UnresponsiveTime.
func (p *Picker) MarkUnresponsive(now clock.Time, id ident.InstanceID) {
	p.skipUntil[id] = now.Add(UnresponsiveTime)
}

// Pick returns the voter that chooses the targets of a service, or "" if the region has no
// responsive voter.
func (p *Picker) Pick(now clock.Time, voters []ident.InstanceID, service ident.ServiceID) ident.InstanceID {
	best := ident.InstanceID("")
	most := uint64(0)
	for _, id := range voters {
		if p.regions[id] != p.region || now.Before(p.skipUntil[id]) {
			continue
		}
		if score := xxhash.Sum64String(string(id) + "\x00" + string(service)); best == "" || score > most {
			best, most = id, score
		}
	}
	return best
}
