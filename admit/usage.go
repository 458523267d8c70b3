package admit

import (
	"math"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

const (
	// usageWindow is the time constant of the measured usage.
	usageWindow = 10 * time.Second
	// lightFraction is the fraction of an equal share below which a tenant is light.
	lightFraction = 0.5
	// heavyMultiple is the multiple of an equal share above which a tenant is heavy.
	heavyMultiple = 1.5
	// usageFloor is the usage, in seconds of target time, below which a tenant is not active.
	usageFloor = 1e-3
	// usageSweep is the interval between sweeps.
	usageSweep = 1 * time.Second
)

// usage measures the target time that each tenant has used recently, divided by its weight, as an
// exponentially weighted sum. When one tenant floods the queue, the others are light: a few of
// their requests may start at once without waiting. When all tenants send too much, none is light.
//
// The sums are as of the last sweep. Usage after the sweep is scaled up by the decay that the sums
// have not undergone yet, so that only a sweep, once per usageSweep, has to visit every tenant.
type usage struct {
	costs map[ident.TenantID]float64
	total float64
	at    clock.Time // time of the last sweep
}

// sweep decays the sums to now if a sweep is due, and reports whether it did.
func (u *usage) sweep(now clock.Time) bool {
	if u.costs == nil {
		u.costs = map[ident.TenantID]float64{}
		u.at = now
	}
	if now.Sub(u.at) < usageSweep {
		return false
	}
	factor := 1 / u.growth(now)
	u.at = now
	u.total = 0
	for id, cost := range u.costs {
		cost *= factor
		if cost < usageFloor {
			delete(u.costs, id)
			continue
		}
		u.costs[id] = cost
		u.total += cost
	}
	return true
}

// growth returns the factor that scales usage at now to the time of the last sweep.
func (u *usage) growth(now clock.Time) float64 {
	return math.Exp(now.Sub(u.at).Seconds() / usageWindow.Seconds())
}

func (u *usage) add(now clock.Time, id ident.TenantID, cost float64) {
	cost *= u.growth(now)
	u.costs[id] += cost
	u.total += cost
}

// heavy reports whether a tenant has used much more than an equal share.
func (u *usage) heavy(id ident.TenantID) bool {
	return len(u.costs) >= 2 && u.costs[id] > heavyMultiple*u.total/float64(len(u.costs))
}

// light reports whether a tenant has used much less than an equal share.
func (u *usage) light(id ident.TenantID) bool {
	if len(u.costs) < 2 {
		return false
	}
	return u.costs[id] < lightFraction*u.total/float64(len(u.costs))
}
