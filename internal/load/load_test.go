package load

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"
)

func testSpec() Spec {
	return Spec{Rate: 100, Duration: 10 * time.Second, Seed: 3, Mix: DefaultMix(), Tenants: []string{"a", "b"}, Tokens: 5}
}

// TestPlanIsSeeded checks that equal specs give equal plans at about the given rate, and
// that no idempotency key is used twice: two payments under one key would run once.
func TestPlanIsSeeded(t *testing.T) {
	a, b := Plan(testSpec()), Plan(testSpec())
	if !reflect.DeepEqual(a, b) {
		t.Error("equal specs gave different plans")
	}
	if len(a) < 800 || len(a) > 1200 {
		t.Errorf("%d requests in 10 s at 100 per second, want 800 to 1200", len(a))
	}
	keys := map[string]bool{}
	for _, item := range a {
		if item.Kind != Payment {
			continue
		}
		if keys[item.Text] {
			t.Errorf("idempotency key %s is planned twice", item.Text)
		}
		keys[item.Text] = true
	}
}

// TestReport checks that failed and wrong answers are counted by code and that a wrong
// answer makes the load fail.
func TestReport(t *testing.T) {
	r := newReport(testSpec())
	r.add(Item{Tenant: "a", Kind: Short}, outcome{code: "ok", first: 10 * time.Millisecond, between: []time.Duration{time.Millisecond}})
	r.add(Item{Tenant: "a", Kind: Short}, outcome{code: "overloaded"})
	r.add(Item{Tenant: "a", Kind: Short}, outcome{code: "ok", mismatch: "another's answer"})
	r.close()
	var out bytes.Buffer
	if err := r.Print(&out); err != nil {
		t.Fatal(err)
	}
	if !r.Failed() || !strings.Contains(out.String(), "overloaded:1 wrong:1") || !strings.Contains(out.String(), "wrong answers 1") {
		t.Errorf("report:\n%s", out.String())
	}
}

// TestUnreachableServiceIsNoWrongAnswer checks that a service whose runs cannot be counted makes the
// load fail without counting as a wrong answer.
func TestUnreachableServiceIsNoWrongAnswer(t *testing.T) {
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	r := runner{target: Target{ServiceURLs: []string{gone.URL}}, client: http.DefaultClient, report: newReport(testSpec())}
	if report := r.finishReport(); len(report.Wrong) != 0 || len(report.Unknown) != 1 || !report.Failed() {
		t.Errorf("wrong answers %v, unknown %v", report.Wrong, report.Unknown)
	}
}
