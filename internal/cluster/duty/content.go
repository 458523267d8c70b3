package duty

import (
	"encoding/json"
	"strings"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/state"
)

// Content is what a call says: UsageReport or CapacityOrder.
type Content interface {
	// Subject returns what the call concerns.
	Subject() state.Subject
}

// UsageSubject is the subject of all usage reports. A decision's number is that of its window.
const UsageSubject state.Subject = "usage"

// capacityPrefix begins the subjects of orders of targets.
const capacityPrefix = "capacity "

// UsageReport is the number of requests of each workspace that began in a window.
type UsageReport struct {
	Window uint64                    `json:"window"`
	Counts map[ident.TenantID]uint64 `json:"counts"`
}

// CapacityOrder orders a number of targets of a service in a domain. Reclaimable targets are counted apart from others.
type CapacityOrder struct {
	Service     ident.ServiceID `json:"service"`
	Domain      ident.DomainID  `json:"domain"`
	Reclaimable bool            `json:"reclaimable,omitempty"`
	Count       int             `json:"count"`
}

// Subject returns UsageSubject.
func (UsageReport) Subject() state.Subject { return UsageSubject }

// Subject returns the subject of all orders for the service and domain.
func (o CapacityOrder) Subject() state.Subject {
	return state.Subject(capacityPrefix + string(o.Service) + " " + string(o.Domain))
}

// Encode returns the content in the form that a decision keeps. Equal contents have equal encodings.
func Encode(c Content) ([]byte, error) {
	data, err := json.Marshal(c)
	return data, fault.Wrap(fault.Internal, err)
}

// Decode returns the content of a decision.
func Decode(d state.Decision) (Content, error) {
	switch {
	case d.Subject == UsageSubject:
		return decodeAs[UsageReport](d)
	case strings.HasPrefix(string(d.Subject), capacityPrefix):
		return decodeAs[CapacityOrder](d)
	default:
		return nil, fault.New(fault.Corrupt, "decision %d has the unknown subject %q", d.Number, d.Subject)
	}
}

func decodeAs[C Content](d state.Decision) (Content, error) {
	var c C
	if err := json.Unmarshal(d.Content, &c); err != nil {
		return nil, fault.New(fault.Corrupt, "decision %d of %q: %v", d.Number, d.Subject, err)
	}
	return c, nil
}
