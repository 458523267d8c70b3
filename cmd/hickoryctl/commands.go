package main

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/hickoryridge/hickoryridge/caller"
	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/instance"
	"github.com/hickoryridge/hickoryridge/internal/cli"
	"github.com/hickoryridge/hickoryridge/internal/cluster/quarantine"
	"github.com/hickoryridge/hickoryridge/operator"
	"github.com/hickoryridge/hickoryridge/peer"
)

// readDocument reads and validates a desired-state document and prints its faults.
func readDocument(c *client, path string) (*desired.Document, bool) {
	data, err := os.ReadFile(path)
	if err != nil {
		c.errorf("hickoryctl: %v\n", err)
		return nil, false
	}
	doc, faults := desired.Parse(data)
	if len(faults) > 0 {
		if c.json {
			c.printJSON(faults)
		} else {
			cli.PrintFaults(c.errs, path, faults)
		}
		return nil, false
	}
	return doc, true
}

// check validates a document without contacting the instance.
func check(c *client, args []string) int {
	doc, ok := readDocument(c, args[0])
	if !ok {
		return cli.ExitInvalid
	}
	if c.json {
		return c.printJSON(map[string]any{"valid": true, "number": doc.Number})
	}
	c.printf("%s: valid, number %d\n", args[0], doc.Number)
	return cli.ExitOK
}

// apply validates a document and submits it.
func apply(c *client, args []string) int {
	doc, ok := readDocument(c, args[0])
	if !ok {
		return cli.ExitInvalid
	}
	return putDocument(c, doc)
}

// putDocument submits a document and prints whether it is in force everywhere.
func putDocument(c *client, doc *desired.Document) int {
	data, _, err := doc.Encode()
	if err != nil {
		c.errorf("hickoryctl: %v\n", err)
		return cli.ExitFailed
	}
	var a operator.Applied
	status, ok := c.call(http.MethodPut, "/v1/desired", data, &a)
	if !ok {
		return exitCodeOf(status)
	}
	code := cli.ExitOK
	if !a.InForce {
		code = exitNotInForce
	}
	if c.json {
		c.printJSON(a)
		return code
	}
	c.printf("number %d accepted, digest %s\n", a.Number, a.Digest)
	switch {
	case !a.InForce:
		c.printf("not in force yet; waiting for instances %v\n", a.Waiting)
	case a.Current > a.Number:
		c.printf("superseded: number %d is in force\n", a.Current)
	default:
		c.printf("in force everywhere\n")
	}
	return code
}

// hiddenKey stands for an API key in what is printed. It is no valid key, so that a document with it is refused.
const hiddenKey = "hidden key"

// hideKeys replaces the API keys of a document, and drops the text that it was translated from if that has keys.
func hideKeys(doc *desired.Document) {
	for i := range doc.Tenants {
		for j := range doc.Tenants[i].Keys {
			doc.Tenants[i].Keys[j] = hiddenKey
			doc.Origin = nil
		}
	}
}

// show prints the newest document without its API keys.
func show(c *client, _ []string) int {
	var doc desired.Document
	if status, ok := c.call(http.MethodGet, "/v1/desired", nil, &doc); !ok {
		return exitCodeOf(status)
	}
	hideKeys(&doc)
	return c.printJSON(doc)
}

// status prints the state of the instance and, if a leader is reachable, of the quorum.
func status(c *client, _ []string) int {
	var st operator.Status
	if code, ok := c.call(http.MethodGet, "/v1/status", nil, &st); !ok {
		return exitCodeOf(code)
	}
	if c.json {
		return c.printJSON(st)
	}
	l := st.Local
	c.printf("instance %s: number %d, view %d, running %d, waiting %d\n", l.Instance, l.Number, l.Version, l.Running, l.Waiting)
	if l.Closed != "" {
		c.printf("refuses requests: %s\n", l.Closed)
	}
	if st.Error != "" {
		c.printf("leader status unavailable: %s\n", st.Error)
		return cli.ExitFailed
	}
	r, ok := decodeReport(c, &st)
	if !ok {
		return cli.ExitFailed
	}
	printReport(c, r)
	return cli.ExitOK
}

// decodeReport returns the leader's report. It prints why it cannot be read.
func decodeReport(c *client, st *operator.Status) (r instance.Report, ok bool) {
	if err := json.Unmarshal(st.Quorum, &r); err != nil {
		c.errorf("hickoryctl: decode leader status: %v\n", err)
		return r, false
	}
	return r, true
}

func printReport(c *client, r instance.Report) {
	c.printf("leader %s, term %d, index %d, number %d\n", r.Leader, r.Term, r.Index, r.Number)
	for _, m := range r.Members {
		c.printf("voter %s: disk %s votes=%v match=%d rejected=%v\n", m.Instance, m.Disk, m.Voter, m.Match, m.Rejected)
	}
	for _, in := range r.Instances {
		c.printf("lease %s: live=%v view=%d leaving=%v\n", in.Instance, in.Live, in.Version, in.Leaving)
	}
	for _, o := range r.Open {
		c.printf("order %s: engine %s wish %+v, %s\n", o.ID, o.Engine, o.Spec, r.Waiting[o.ID])
	}
	for _, l := range r.Limits {
		c.printf("limit %s: %v requests/s, %d permits granted, %d requests without, %d instances waiting\n", l.Limit.Target, l.Limit.Rate, l.Granted, l.Refused, l.Waiting)
	}
	c.printf("receipts: %d kept, %d open, %d marks\n", r.Receipts.Receipts, r.Receipts.Open, r.Receipts.Tombstones)
}

// targets prints the targets in the instance's table.
func targets(c *client, _ []string) int {
	var list []operator.Target
	if status, ok := c.call(http.MethodGet, "/v1/targets", nil, &list); !ok {
		return exitCodeOf(status)
	}
	if c.json {
		return c.printJSON(list)
	}
	w := newTable(c.out)
	w.row("target", "service", "address", "region", "domain", "role", "usable", "limit", "time", "pace", "price")
	for _, t := range list {
		role, usable, limit := "", "no", ""
		if t.Engine != nil {
			role = string(t.Engine.Role)
		}
		if t.Usable {
			usable = "yes"
		}
		if t.RateLimit != nil {
			limit = strconv.FormatFloat(float64(*t.RateLimit), 'g', -1, 64) + "/s"
		}
		slowness, pace, price := speedOf(t)
		w.row(string(t.Announcement.Target), string(t.Service), t.Address, string(t.Region), string(t.Domain), role, usable, limit, slowness, pace, price)
	}
	return w.print()
}

// speedOf returns how long a target takes, relative to others like it, the pace of its host in percent, and the price of prompts
// beside its answers. The first is in brackets if it does not count in the choice of targets.
func speedOf(t operator.Target) (slowness, pace, price string) {
	if t.Speed == nil {
		return "", "", ""
	}
	slowness = strconv.FormatFloat(t.Speed.Slowness, 'f', 2, 64)
	if !t.Speed.Counts {
		slowness = "(" + slowness + ")"
	}
	if t.Speed.Pace > 0 {
		pace = strconv.Itoa(t.Speed.Pace)
	}
	if t.Speed.Price > 0 {
		price = strconv.FormatFloat(t.Speed.Price, 'f', 2, 64)
	}
	return slowness, pace, price
}

// table prints rows of cells in aligned columns.
type table struct{ *tabwriter.Writer }

func newTable(out io.Writer) table { return table{tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)} }

// print prints the rows and returns the exit code.
func (t table) print() int {
	if err := t.Flush(); err != nil {
		return cli.ExitFailed
	}
	return cli.ExitOK
}

// row adds a row.
func (t table) row(cells ...string) {
	for _, cell := range cells {
		_, _ = t.Write([]byte(cell + "\t")) // print reports the error
	}
	_, _ = t.Write([]byte("\n")) // as above
}

// parts prints the parts of prompts and the requests in quarantine.
func parts(c *client, _ []string) int {
	var list []quarantine.Suspect
	if status, ok := c.call(http.MethodGet, "/v1/parts", nil, &list); !ok {
		return exitCodeOf(status)
	}
	if c.json {
		return c.printJSON(list)
	}
	w := newTable(c.out)
	w.row("service", "kind", "part", "software", "crashes", "answers", "until")
	for _, s := range list {
		w.row(string(s.Part.Service), kindOf(s.Part), s.Part.ID, string(s.Part.Software), strconv.Itoa(s.Crashes), strconv.Itoa(s.Answers), s.Until.AsDuration().Round(time.Second).String())
	}
	return w.print()
}

// kindOf names what a part is.
func kindOf(p quarantine.Part) string {
	if p.Whole {
		return "request"
	}
	return "part"
}

// release ends the quarantine of a part of prompts or a request.
func release(c *client, args []string) int {
	var done map[string]bool
	path := "/v1/parts/" + url.PathEscape(args[0]) + "/" + url.PathEscape(args[1])
	if status, ok := c.call(http.MethodDelete, path, nil, &done); !ok {
		return exitCodeOf(status)
	}
	c.printf("%s of service %s: released; in quarantine again if it crashes targets\n", args[1], args[0])
	return cli.ExitOK
}

// setDrained changes one target in the current document and submits the result under the
// next number. If another operator has submitted that number in the meantime, the leader
// refuses the change and the command can be retried.
func setDrained(c *client, name string, drained bool) int {
	var doc desired.Document
	if status, ok := c.call(http.MethodGet, "/v1/desired", nil, &doc); !ok {
		return exitCodeOf(status)
	}
	doc.Number++
	found := false
	for i := range doc.Engines {
		if doc.Engines[i].Name == ident.TargetID(name) {
			doc.Engines[i].Drained = drained
			found = true
		}
	}
	if !found {
		doc.Engines = append(doc.Engines, desired.EngineOverride{Name: ident.TargetID(name), Drained: drained})
	}
	return putDocument(c, &doc)
}

// receipt prints the receipt of a request that runs at most once.
func receipt(c *client, args []string) int {
	var r caller.Receipt
	path := "/v1/receipts/" + url.PathEscape(args[0]) + "/" + url.PathEscape(args[1]) + "/" + url.PathEscape(args[2])
	if status, ok := c.call(http.MethodGet, path, nil, &r); !ok {
		return exitCodeOf(status)
	}
	if c.json {
		return c.printJSON(r)
	}
	c.printf("state %s, ran %s, attempt %s\n", r.State, r.Ran, r.Attempt)
	if r.Status != 0 {
		c.printf("answer: status %d: %s\n", r.Status, r.Body)
	}
	return cli.ExitOK
}

// voter adds or removes a voter of the quorum.
func voter(c *client, args []string) int {
	body, err := json.Marshal(operator.MemberChange{
		Change: peer.MemberChange(args[0]), Instance: ident.InstanceID(args[1]),
	})
	if err != nil {
		c.errorf("hickoryctl: %v\n", err)
		return cli.ExitFailed
	}
	var done map[string]bool
	if status, ok := c.call(http.MethodPost, "/v1/members", body, &done); !ok {
		return exitCodeOf(status)
	}
	c.printf("voter %s: %s done\n", args[1], args[0])
	return cli.ExitOK
}
