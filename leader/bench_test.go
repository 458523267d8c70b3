package leader

import (
	"fmt"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/peer"
)

const start = clock.Time(time.Hour)

// BenchmarkLeases measures recording one renewal and checking what is in force
// among growing numbers of instances.
func BenchmarkLeases(b *testing.B) {
	for _, n := range []int{9, 40, 400} {
		b.Run(fmt.Sprint("instances=", n), func(b *testing.B) {
			l := NewLeases()
			l.Begin(start, true)
			asks := make([]*peer.Lease, n)
			for i := range asks {
				asks[i] = &peer.Lease{Instance: ident.InstanceID(fmt.Sprint("i", i)), Boot: "b", Version: 7}
				l.Renew(start, asks[i])
			}
			i := 0
			for b.Loop() {
				l.Renew(start, asks[i%n])
				if i%50 == 0 {
					l.InForce(start, 7)
				}
				i++
			}
		})
	}
}
