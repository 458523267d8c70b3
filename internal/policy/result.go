package policy

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/ident"
)

// roleChange is a change of an engine to a role.
type roleChange struct {
	at   time.Duration
	role desired.Role
}

// tenantResult counts the requests of one tenant.
type tenantResult struct{ offered, good, refused int }

// Result is the result of one policy on one trace.
type Result struct {
	Trace, Policy                 string
	Offered                       int
	Completed                     int // complete answers
	WithinObjectives              int // complete answers within the objectives for the first token and between tokens
	Refused                       int
	Retried                       int          // refused clients that retried after Retry-After
	RetriesAdmitted               int          // clients that retried and were admitted
	RoleChanges                   int          // role changes
	CrossRegionBytes              int64        // bytes between regions
	CachedTokens, PrefilledTokens ident.Tokens // prompt tokens found in prefix caches, and processed

	seconds float64
	first   [2][]time.Duration
	between []time.Duration
	tenants [tenantCount]tenantResult
	changes []roleChange
}

func (r *Result) tenant(j *job) *tenantResult { return &r.tenants[j.arrival.Tenant] }

// Goodput returns the complete answers within the objectives, per second.
func (r *Result) Goodput() float64 { return float64(r.WithinObjectives) / r.seconds }

// CrossRegionBytesPerGood returns the bytes between regions per answer within the objectives.
func (r *Result) CrossRegionBytesPerGood() float64 {
	return float64(r.CrossRegionBytes) / float64(max(r.WithinObjectives, 1))
}

// FirstTokenP95 returns the 95th percentile of a class's time to the first token.
func (r *Result) FirstTokenP95(c Class) time.Duration { return p95(r.first[c]) }

// OthersGoodShare returns the share of the requests of all tenants but the first that was
// answered within the objectives.
func (r *Result) OthersGoodShare() float64 {
	good, offered := 0, 0
	for _, t := range r.tenants[1:] {
		good += t.good
		offered += t.offered
	}
	return float64(good) / float64(max(offered, 1))
}

// ReversedChanges returns the number of role changes that an opposite change followed within d.
func (r *Result) ReversedChanges(d time.Duration) int {
	n := 0
	for i, c := range r.changes {
		for _, later := range r.changes[i+1:] {
			if later.at-c.at <= d && later.role != c.role {
				n++
				break
			}
		}
	}
	return n
}

// p95 returns the 95th percentile, or 0 of no values.
func p95(d []time.Duration) time.Duration {
	if len(d) == 0 {
		return 0
	}
	sorted := slices.Clone(d)
	slices.Sort(sorted)
	return sorted[(len(sorted)-1)*95/100]
}

// Print writes results as a table.
func Print(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "trace\tpolicy\tgood/s\toffered\twhole\tgood\trefused\tshort first p95\tlong first p95\tbetween p95\tchanges\tcross GB\thits\t")
	for _, r := range results {
		hits := float64(r.CachedTokens) / float64(max(r.CachedTokens+r.PrefilledTokens, 1))
		fmt.Fprintf(t, "%s\t%s\t%.2f\t%d\t%d\t%d\t%d\t%v\t%v\t%v\t%d\t%.0f\t%.2f\t\n",
			r.Trace, r.Policy, r.Goodput(), r.Offered, r.Completed, r.WithinObjectives, r.Refused,
			r.FirstTokenP95(Short).Round(time.Millisecond), r.FirstTokenP95(Long).Round(time.Millisecond),
			p95(r.between).Round(100*time.Microsecond), r.RoleChanges, float64(r.CrossRegionBytes)/1e9, hits)
	}
	return t.Flush()
}
