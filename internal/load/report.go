package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms. Values are in microseconds.
const (
	lowestMicros      = 1
	highestMicros     = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
	// maxQuotedWrong is the maximum number of wrong answers that a report quotes.
	maxQuotedWrong = 20
)

// Report is the result of a load.
type Report struct {
	Spec       Spec     `json:"spec"`
	Rows       []*Row   `json:"rows"`
	Duplicated int      `json:"duplicated"` // payments that ran more than once
	Wrong      []string `json:"wrong"`      // wrong answers
	Unknown    []string `json:"unknown"`    // fake services whose runs are unknown, with the cause
	rowsByKey  map[[2]string]*Row
}

// Row is the result of one tenant and class.
type Row struct {
	Tenant           string         `json:"tenant"`
	Class            string         `json:"class"`
	Sent             int            `json:"sent"`
	OK               int            `json:"ok"`
	Codes            map[string]int `json:"codes"` // failed requests by error code
	First            Times          `json:"first"`
	Between          Times          `json:"between"`
	firstHistogram   *hdrhistogram.Histogram
	betweenHistogram *hdrhistogram.Histogram
}

// Times are percentiles of a latency in milliseconds.
type Times struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

func newReport(s Spec) *Report { return &Report{Spec: s, rowsByKey: map[[2]string]*Row{}} }

// row returns the row of a tenant and class, which it creates if there is none.
func (r *Report) row(tenant, class string) *Row {
	key := [2]string{tenant, class}
	if r.rowsByKey[key] == nil {
		r.rowsByKey[key] = &Row{
			Tenant: tenant, Class: class, Codes: map[string]int{},
			firstHistogram: hdrhistogram.New(lowestMicros, highestMicros, significantDigits), betweenHistogram: hdrhistogram.New(lowestMicros, highestMicros, significantDigits),
		}
	}
	return r.rowsByKey[key]
}

// add records the outcome of a request. A wrong answer counts under the code "wrong".
func (r *Report) add(item Item, o outcome) {
	row := r.row(item.Tenant, string(item.Kind))
	row.Sent++
	if o.code != "ok" {
		row.Codes[o.code]++
		return
	}
	if o.mismatch != "" {
		row.Codes["wrong"]++
		if len(r.Wrong) < maxQuotedWrong {
			r.Wrong = append(r.Wrong, o.mismatch)
		}
		return
	}
	row.OK++
	recordDuration(row.firstHistogram, o.first)
	for _, d := range o.between {
		recordDuration(row.betweenHistogram, d)
	}
}

// recordDuration records a duration, which it limits to the range of the histogram.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	// It fails only for values outside the range.
	_ = h.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}

// percentilesOf returns the percentiles of a histogram of microseconds.
func percentilesOf(h *hdrhistogram.Histogram) Times {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Times{
		P50: ms(h.ValueAtQuantile(50)), P95: ms(h.ValueAtQuantile(95)), P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max()),
	}
}

// close computes the percentiles and sorts the rows by tenant and class.
func (r *Report) close() {
	for _, row := range r.rowsByKey {
		row.First, row.Between = percentilesOf(row.firstHistogram), percentilesOf(row.betweenHistogram)
		r.Rows = append(r.Rows, row)
	}
	slices.SortFunc(r.Rows, func(a, b *Row) int {
		if a.Tenant+a.Class < b.Tenant+b.Class {
			return -1
		}
		return 1
	})
}

// Failed reports whether an answer was wrong, a payment ran more than once or that is not known of
// all services. Requests that the system refused are no failure.
func (r *Report) Failed() bool { return len(r.Wrong) > 0 || len(r.Unknown) > 0 || r.Duplicated > 0 }

// Print writes the report as a table.
func (r *Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "tenant\tclass\tsent\tok\tfirst p50\tp95\tp99\tbetween p50\tp95\tothers\t")
	for _, row := range r.Rows {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%s\t\n", row.Tenant, row.Class, row.Sent, row.OK,
			row.First.P50, row.First.P95, row.First.P99, row.Between.P50, row.Between.P95, formatCodes(row.Codes))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "times in ms, from when a request was due; wrong answers %d, payments run more than once %d, services whose runs are unknown %d\n", len(r.Wrong), r.Duplicated, len(r.Unknown))
	return err
}

// formatCodes returns the counts of the error codes, sorted by code.
func formatCodes(m map[string]int) string {
	out := ""
	for _, code := range slices.Sorted(maps.Keys(m)) {
		out += fmt.Sprintf("%s:%d ", code, m[code])
	}
	return out
}

// Compare writes the rows that both reports have side by side.
func Compare(w io.Writer, a, b *Report) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "tenant\tclass\tok\tok\tfirst p95\tfirst p95\tratio\tbetween p95\tbetween p95\t")
	for _, row := range a.Rows {
		i := slices.IndexFunc(b.Rows, func(o *Row) bool { return o.Tenant == row.Tenant && o.Class == row.Class })
		if i < 0 {
			continue
		}
		other := b.Rows[i]
		ratio := 0.0
		if row.First.P95 > 0 {
			ratio = other.First.P95 / row.First.P95
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.1f\t%.1f\t%.2f\t%.1f\t%.1f\t\n", row.Tenant, row.Class, row.OK, other.OK,
			row.First.P95, other.First.P95, ratio, row.Between.P95, other.Between.P95)
	}
	return t.Flush()
}
