package fault

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// TestTable guards against accidental changes of the table: callers rely on every
// status and code.
func TestTable(t *testing.T) {
	var out bytes.Buffer
	seen := map[string]bool{}
	for _, k := range Kinds() {
		r := k.Response()
		if r.Code == "" || r.Status == 0 || r.Ran == "" || seen[r.Code] {
			t.Errorf("kind %d has an incomplete response or a duplicate code: %+v", k, r)
		}
		seen[r.Code] = true
		if back, ok := Parse(r.Code); !ok || back != k {
			t.Errorf("code %q parses to another kind, %v", r.Code, back)
		}
		fmt.Fprintf(&out, "%-22s %d ran=%-8s retry=%v\n", r.Code, r.Status, r.Ran, r.RetryAfter)
	}
	goldie.New(t).Assert(t, "table", out.Bytes())
}

func ExampleResponseOf() {
	err := WithRetryAfter(New(Overloaded, "%d requests wait", 7), 3*time.Second)
	r := ResponseOf(fmt.Errorf("chat: %w", err))
	fmt.Println(err, r.Status, r.Code, r.Ran, r.RetryAfter)
	// Output: 7 requests wait 503 overloaded no 3s
}

// TestStatusOf guards against duplicate executions: a status that callers take to mean
// "not run" is returned only if the request certainly has not run.
func TestStatusOf(t *testing.T) {
	for _, k := range Kinds() {
		for _, ran := range []Ran{RanNo, RanYes, RanUnknown} {
			err := WithRan(New(k, "x"), ran)
			switch status := StatusOf(err); status {
			case 408, 421, 429, 503:
				if ran != RanNo {
					t.Errorf("%v with ran=%s: status %d", k, ran, status)
				}
			}
		}
	}
	if got := StatusOf(New(Overloaded, "x")); got != 503 {
		t.Errorf("not run: got status %d, want 503", got)
	}
	if got := StatusOf(New(RetryBudget, "x")); got != 502 {
		t.Errorf("may have run: got status %d, want 502", got)
	}
}
