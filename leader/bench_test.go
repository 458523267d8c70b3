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

// BenchmarkLeases measures the cost of a renewal, with an in-force check every 50 renewals, for
// growing numbers of instances.
func BenchmarkLeases(b *testing.B) {
	for _, n := range []int{9, 40, 400} {
		b.Run(fmt.Sprint("instances=", n), func(b *testing.B) {
			l := NewLeases()
			l.Begin(start, true)
			reqs := make([]*peer.Lease, n)
			for i := range reqs {
				reqs[i] = &peer.Lease{Instance: ident.InstanceID(fmt.Sprint("i", i)), Boot: "b", Version: 7}
				l.Renew(start, reqs[i])
			}
			i := 0
			for b.Loop() {
				l.Renew(start, reqs[i%n])
				if i%50 == 0 {
					l.InForce(start, 7)
				}
				i++
			}
		})
	}
}
