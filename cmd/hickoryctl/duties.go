package main

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/hickoryridge/hickoryridge/fleet"
	"github.com/hickoryridge/hickoryridge/internal/cli"
	"github.com/hickoryridge/hickoryridge/leader"
	"github.com/hickoryridge/hickoryridge/operator"
	"github.com/hickoryridge/hickoryridge/state"
)

// dutyReport returns the leader's report on the duties. It prints why there is none and returns the exit code for that.
func dutyReport(c *client) (*leader.DutyReport, int) {
	var st operator.Status
	if code, ok := c.call(http.MethodGet, "/v1/status", nil, &st); !ok {
		return nil, exitCodeOf(code)
	}
	if st.Error != "" {
		c.errorf("hickoryctl: leader status unavailable: %s\n", st.Error)
		return nil, cli.ExitFailed
	}
	r, ok := decodeReport(c, &st)
	if !ok {
		return nil, cli.ExitFailed
	}
	if r.Duties == nil {
		c.errorf("hickoryctl: the settings name no provider, so there are no duties\n")
		return nil, cli.ExitFailed
	}
	return r.Duties, cli.ExitOK
}

// showDuties prints who holds the duties and the decisions that are open or were closed last.
func showDuties(c *client, _ []string) int {
	r, code := dutyReport(c)
	if r == nil {
		return code
	}
	if c.json {
		return c.printJSON(r.Duties)
	}
	claim := r.Duties.Claim
	c.printf("holder %s, generation %d, since %s\n", claim.Holder, claim.Generation, timeOf(claim.At))
	w := newTable(c.out)
	w.row("subject", "number", "decided", "outcome", "reason", "content")
	for _, d := range slices.Concat(r.Duties.Open, r.Duties.Closed) {
		outcome := string(d.Outcome)
		if outcome == "" {
			outcome = "open"
		}
		w.row(string(d.Subject), strconv.FormatUint(uint64(d.Number), 10), timeOf(d.Decided), outcome, d.Reason, string(d.Content))
	}
	return w.print()
}

func timeOf(ms state.UnixMillis) string {
	return time.UnixMilli(int64(ms)).UTC().Format("2006-01-02T15:04:05.000Z")
}

// showUsage prints what has been handed over for the window that is reported next.
func showUsage(c *client, _ []string) int {
	r, code := dutyReport(c)
	if r == nil {
		return code
	}
	if c.json {
		return c.printJSON(r.Usage)
	}
	c.printf("next window %d; closed up to %d\n", r.Usage.Next, r.Usage.Closed)
	w := newTable(c.out)
	w.row("workspace", "requests")
	for _, name := range slices.Sorted(maps.Keys(r.Usage.Counts)) {
		w.row(string(name), strconv.FormatUint(r.Usage.Counts[name], 10))
	}
	return w.print()
}

// showCapacity prints the demand, the targets and the reasons of the last orders.
func showCapacity(c *client, _ []string) int {
	r, code := dutyReport(c)
	if r == nil {
		return code
	}
	if c.json {
		return c.printJSON(r.Capacity)
	}
	for _, s := range r.Capacity {
		c.printf("service %s: demand %.1f targets, wanted %d, serving %d, may shrink: %v\n", s.Service, s.State.Demand, s.State.Wanted, s.State.Serving, s.State.Known)
		w := newTable(c.out)
		w.row("domain", "ordinary", "reclaimable")
		for _, domain := range slices.Sorted(maps.Keys(s.Present)) {
			count := s.Present[domain]
			w.row(string(domain), strconv.Itoa(count[fleet.Ordinary]), strconv.Itoa(count[fleet.Reclaimable]))
		}
		if code := w.print(); code != cli.ExitOK {
			return code
		}
		for _, subject := range slices.Sorted(maps.Keys(s.Reasons)) {
			c.printf("%s: %s\n", subject, s.Reasons[subject])
		}
	}
	return cli.ExitOK
}
