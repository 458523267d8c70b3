package fault

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// TestTable pins the whole table: callers rely on every status and code.
func TestTable(t *testing.T) {
	var out bytes.Buffer
	seen := map[string]bool{}
	for _, k := range Kinds() {
		a := k.Response()
		if a.Code == "" || a.Status == 0 || a.Ran == "" || seen[a.Code] {
			t.Errorf("kind %d has the answer %+v", k, a)
		}
		seen[a.Code] = true
		if back, ok := Parse(a.Code); !ok || back != k {
			t.Errorf("code %q parses to %v", a.Code, back)
		}
		fmt.Fprintf(&out, "%-22s %d ran=%-8s retry=%v\n", a.Code, a.Status, a.Ran, a.RetryAfter)
	}
	goldie.New(t).Assert(t, "table", out.Bytes())
}

func ExampleResponseOf() {
	err := WithRetryAfter(New(Overloaded, "%d requests wait", 7), 3*time.Second)
	a := ResponseOf(fmt.Errorf("chat: %w", err))
	fmt.Println(err, a.Status, a.Code, a.Ran, a.RetryAfter)
	// Output: 7 requests wait 503 overloaded no 3s
}

// TestStatusOf checks that a status which callers take for "not run" is only given where that
// is known.
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
		t.Errorf("not run: status %d", got)
	}
	if got := StatusOf(New(RetryBudget, "x")); got != 502 {
		t.Errorf("may have run: status %d", got)
	}
}
