package desired

import (
	"fmt"
	"testing"

	"github.com/hickoryridge/hickoryridge/examples"
	"github.com/hickoryridge/hickoryridge/ident"
)

// BenchmarkParse measures parsing for several numbers of tenants.
func BenchmarkParse(b *testing.B) {
	for _, n := range []int{51, 510, 5100} {
		b.Run(fmt.Sprint("tenants=", n), func(b *testing.B) {
			doc, _ := Parse(examples.Association)
			first := doc.Tenants[0]
			doc.Tenants = nil
			for i := range n {
				t := first
				t.Name = ident.TenantID(fmt.Sprint("workspace-", i))
				t.Keys = []string{fmt.Sprintf("key-%032d", i)}
				doc.Tenants = append(doc.Tenants, t)
			}
			data, _, err := doc.Encode()
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, faults := Parse(data); len(faults) > 0 {
					b.Fatal(faults)
				}
			}
			b.ReportMetric(float64(len(data))/float64(n), "B/tenant")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(n), "us/tenant")
		})
	}
}
