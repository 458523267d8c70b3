package policy

import (
	"math"
	"os"
	"sync"
	"testing"
	"time"
)

const testSeed = 11

// The policies that are compared with the baselines. The association prefers goodput, the
// cooperative few role changes. The reference is an oracle that has the mixes in advance.
var (
	association = Policy{Name: "association", Goodput: 0.9}
	cooperative = Policy{Name: "cooperative", Goodput: 0.2}
	reference   = Policy{Name: "reference", Roles: RolesOracle}
)

// baselines returns every combination of the simpler policies.
func baselines() []Policy {
	var out []Policy
	for route, routeName := range map[RouteKind]string{RouteRoundRobin: "turns", RouteLeastReported: "least", RouteTwoChoices: "two"} {
		for roles, rolesName := range map[RoleKind]string{RolesFixed: "fixed", RolesThreshold: "threshold"} {
			for admission, admitName := range map[AdmitKind]string{AdmitAll: "none", AdmitFIFO: "fifo"} {
				out = append(out, Policy{Name: routeName + " " + rolesName + " " + admitName, Route: route, Roles: roles, Admit: admission})
			}
		}
	}
	return out
}

// run is a simulation of one policy on one trace.
type run struct {
	spec   Spec
	policy Policy
}

// runAll runs simulations concurrently, at most eight at a time.
func runAll(runs []run) []Result {
	results := make([]Result, len(runs))
	var wg sync.WaitGroup
	slots := make(chan struct{}, 8)
	for i, r := range runs {
		wg.Go(func() {
			slots <- struct{}{}
			results[i] = Run(r.spec, r.policy, testSeed)
			<-slots
		})
	}
	wg.Wait()
	return results
}

// BenchmarkPolicy prints the results of every policy and baseline on every trace.
func BenchmarkPolicy(b *testing.B) {
	var runs []run
	for _, spec := range Specs() {
		for _, p := range append([]Policy{association, cooperative, reference}, baselines()...) {
			runs = append(runs, run{spec, p})
		}
	}
	var results []Result
	for b.Loop() {
		results = runAll(runs)
	}
	if err := Print(os.Stdout, results); err != nil {
		b.Fatal(err)
	}
}

// resultOf returns the result of a policy on a trace.
func resultOf(t *testing.T, results []Result, trace, policy string) *Result {
	t.Helper()
	for _, r := range results {
		if r.Trace == trace && r.Policy == policy {
			return &r
		}
	}
	t.Fatalf("no result of policy %s on trace %s", policy, trace)
	return nil
}

// bestBaseline returns the result with the most goodput on a trace, of the baselines that
// matches accepts.
func bestBaseline(results []Result, trace string, matches func(Policy) bool) *Result {
	found := &Result{}
	for _, p := range baselines() {
		for _, r := range results {
			if r.Trace == trace && r.Policy == p.Name && matches(p) && r.WithinObjectives > found.WithinObjectives {
				found = &r
			}
		}
	}
	return found
}

// specNamed returns the trace with a name, which must exist.
func specNamed(name string) Spec {
	for _, s := range Specs() {
		if s.Name == name {
			return s
		}
	}
	panic("unknown trace " + name)
}

// checkAtLeast logs a ratio and fails the test if the ratio is below its goal.
func checkAtLeast(t *testing.T, what string, got, goal float64) {
	t.Helper()
	t.Logf("%s: %.3f, goal at least %.3f", what, got, goal)
	if got < goal {
		t.Errorf("%s: %.3f, goal at least %.3f", what, got, goal)
	}
}

// TestGoodputGoals checks the goodput, role changes and traffic between regions on a trace
// whose mix swings, relative to the baselines and the oracle. It also checks that goodput
// does not collapse at twice the capacity of the fleet.
func TestGoodputGoals(t *testing.T) {
	var runs []run
	for _, p := range append(baselines(), association, cooperative, reference) {
		runs = append(runs, run{specNamed("swinging"), p})
	}
	runs = append(runs, run{specNamed("steady 1.0"), association}, run{specNamed("steady 2.0"), association})
	results := runAll(runs)
	associationResult := resultOf(t, results, "swinging", "association")
	cooperativeResult := resultOf(t, results, "swinging", "cooperative")
	any := bestBaseline(results, "swinging", func(Policy) bool { return true })
	threshold := bestBaseline(results, "swinging", func(p Policy) bool { return p.Roles == RolesThreshold })
	checkAtLeast(t, "goodput relative to the best baseline", associationResult.Goodput()/any.Goodput(), 1.3)
	checkAtLeast(t, "goodput relative to the oracle", associationResult.Goodput()/resultOf(t, results, "swinging", "reference").Goodput(), 0.9)
	checkAtLeast(t, "cooperative: goodput relative to the best threshold baseline", cooperativeResult.Goodput()/threshold.Goodput(), 0.97)
	checkAtLeast(t, "cooperative: role changes of the threshold baseline relative to twice its own", float64(threshold.RoleChanges)/float64(2*max(cooperativeResult.RoleChanges, 1)), 1)
	if n := cooperativeResult.ReversedChanges(time.Minute); n > 0 {
		t.Errorf("cooperative: %d role changes were reversed within a minute, want 0", n)
	}
	least := math.Inf(1)
	for _, p := range baselines() {
		least = min(least, resultOf(t, results, "swinging", p.Name).CrossRegionBytesPerGood())
	}
	checkAtLeast(t, "least bytes between regions per good answer of a baseline, relative to association", least/associationResult.CrossRegionBytesPerGood(), 1)
	full, double := resultOf(t, results, "steady 1.0", "association"), resultOf(t, results, "steady 2.0", "association")
	checkAtLeast(t, "goodput at twice the load relative to full load", double.Goodput()/full.Goodput(), 0.95)
}

// TestOldReportsGoal checks that load reports with an additional delay of 5 s cost no more
// goodput than they cost the baselines. Round robin among them uses no reports.
func TestOldReportsGoal(t *testing.T) {
	runs := []run{{specNamed("late reports"), association}}
	for _, p := range baselines() {
		runs = append(runs, run{specNamed("late reports"), p})
	}
	results := runAll(runs)
	top := bestBaseline(results, "late reports", func(Policy) bool { return true })
	checkAtLeast(t, "goodput relative to the best baseline, "+top.Policy, resultOf(t, results, "late reports", "association").Goodput()/top.Goodput(), 1)
}

// TestShortAmongBundlesGoal bounds the latency of short requests when long prompts fill the
// fleet, relative to an idle fleet.
func TestShortAmongBundlesGoal(t *testing.T) {
	idle := Spec{Name: "idle", Segments: steady(0.05)}
	results := runAll([]run{{idle, association}, {specNamed("long fills"), association}})
	short := func(trace string) float64 {
		return resultOf(t, results, trace, "association").FirstTokenP95(Short).Seconds()
	}
	t.Logf("p95 of the first token of short requests: idle %.3f s, among long prompts %.3f s", short("idle"), short("long fills"))
	checkAtLeast(t, "1.5 times the idle p95 of short requests, relative to that among long prompts", 1.5*short("idle")/short("long fills"), 1)
}

// TestFloodGoal checks that a tenant that sends a multiple of its share does not take goodput
// from the other tenants.
func TestFloodGoal(t *testing.T) {
	flood := specNamed("flood")
	// The load without the additional requests of tenant 0.
	others := flood.Segments[0].Load / (flood.Flood + 1)
	quiet := Spec{Name: "no flood", Segments: steady(others)}
	results := runAll([]run{{flood, association}, {quiet, association}})
	good := func(trace string) float64 { return resultOf(t, results, trace, "association").OthersGoodShare() }
	checkAtLeast(t, "share of the other tenants' requests answered in time in the flood, relative to no flood", good("flood")/good("no flood"), 0.95)
}

// TestForgedTicketsGoal lets the flooding tenant claim that every request is a retry after
// Retry-After. Retries go before a tenant's other requests, but the false claims must not
// take goodput from the other tenants.
func TestForgedTicketsGoal(t *testing.T) {
	forged := specNamed("flood")
	forged.Name, forged.ForgedRetries = "forged", true
	others := forged.Segments[0].Load / (forged.Flood + 1)
	quiet := Spec{Name: "no flood", Segments: steady(others)}
	results := runAll([]run{{quiet, association}, {forged, association}})
	good := func(trace string) float64 { return resultOf(t, results, trace, "association").OthersGoodShare() }
	checkAtLeast(t, "share of the other tenants' requests answered in time with forged tickets, relative to no flood", good("forged")/good("no flood"), 0.95)
}

// TestSecondTryGoal checks that clients that retry after the Retry-After of their refusal are
// mostly admitted.
func TestSecondTryGoal(t *testing.T) {
	p := association
	p.RetryRefused = true
	r := Run(specNamed("steady 1.1"), p, testSeed)
	if r.Retried < 50 {
		t.Fatalf("%d clients retried, want at least 50", r.Retried)
	}
	checkAtLeast(t, "share of retries that were admitted", float64(r.RetriesAdmitted)/float64(r.Retried), 0.9)
}

// TestSameSeedSameResult checks that a simulation is deterministic. The other tests would be
// flaky otherwise.
func TestSameSeedSameResult(t *testing.T) {
	a, b := Run(specNamed("crash"), association, testSeed), Run(specNamed("crash"), association, testSeed)
	if a.WithinObjectives != b.WithinObjectives || a.Refused != b.Refused || a.CrossRegionBytes != b.CrossRegionBytes {
		t.Errorf("runs with the same seed differ: %+v and %+v good answers", a.WithinObjectives, b.WithinObjectives)
	}
}
