// Package placer speaks to the instances that choose targets for all instances of their region.
//
// The model. Voters can place. Each instance of a region asks the same one of the region's voters, found by rendezvous
// hashing over the service, as long as it answers at once; one that does not is passed over for a while and the next is
// asked. Nobody elects a placer and nobody has to know that there is only one: what it answers is advice.
//
// Picker decides whom to ask. It holds no lock and reads no clock.
package placer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// UnresponsiveTime is the time for which a placer that did not answer at once is not asked.
const UnresponsiveTime = 500 * time.Millisecond

// Picker keeps the voters of this instance's region. Use NewPicker.
type Picker struct {
	region  ident.RegionID
	regions map[ident.InstanceID]ident.RegionID // of the voters that told theirs
	silent  map[ident.InstanceID]clock.Time     // until when a voter is passed over
}

// NewPicker returns a picker for an instance of a region.
func NewPicker(region ident.RegionID) *Picker {
	return &Picker{region: region, regions: map[ident.InstanceID]ident.RegionID{}, silent: map[ident.InstanceID]clock.Time{}}
}

// SetRegion takes where a voter stands.
func (p *Picker) SetRegion(id ident.InstanceID, region ident.RegionID) { p.regions[id] = region }

// UnknownRegion returns those of the voters whose region is not known.
func (p *Picker) UnknownRegion(voters []ident.InstanceID) []ident.InstanceID {
	var unknown []ident.InstanceID
	for _, id := range voters {
		if _, ok := p.regions[id]; !ok {
			unknown = append(unknown, id)
		}
	}
	return unknown
}

// MarkUnresponsive passes a voter over that did not answer at once.
func (p *Picker) MarkUnresponsive(now clock.Time, id ident.InstanceID) {
	p.silent[id] = now.Add(UnresponsiveTime)
}

// Pick returns which of the voters to ask for a target of a service; empty if there is none in the region.
func (p *Picker) Pick(now clock.Time, voters []ident.InstanceID, service ident.ServiceID) ident.InstanceID {
	best := ident.InstanceID("")
	most := uint64(0)
	for _, id := range voters {
		if p.regions[id] != p.region || now.Before(p.silent[id]) {
			continue
		}
		if score := xxhash.Sum64String(string(id) + "\x00" + string(service)); best == "" || score > most {
			best, most = id, score
		}
	}
	return best
}
