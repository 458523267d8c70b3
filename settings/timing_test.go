package settings

import (
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/target"
)

// TestStopBound checks that a stopping instance ends before its process is killed.
func TestStopBound(t *testing.T) {
	for name, test := range map[string]struct {
		stop, linger, grace, want time.Duration
	}{
		"no bound":           {0, 0, 0, 0},
		"stop only":          {time.Second, 0, 0, time.Second},
		"grace and linger":   {0, 2500 * time.Millisecond, 8 * time.Second, 4860 * time.Millisecond},
		"stop below grace":   {time.Second, 0, 8 * time.Second, time.Second},
		"linger above grace": {0, 9 * time.Second, 8 * time.Second, time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			s := Settings{Timing: Timing{Stop: desired.Duration(test.stop), Linger: desired.Duration(test.linger), Grace: desired.Duration(test.grace)}}
			if got := s.StopBound(); got != test.want {
				t.Errorf("%v, want %v", got, test.want)
			}
			if grace := test.grace; grace > 0 && test.linger < grace && s.StopBound()+test.linger >= grace {
				t.Error("linger and stop bound together reach the grace time")
			}
		})
	}
}

// TestTargetLease checks that a target's lease stays below the reconnect bound.
func TestTargetLease(t *testing.T) {
	for name, test := range map[string]struct{ heartbeat, contact, want time.Duration }{
		"no heartbeat":       {0, 4 * time.Second, target.MaxLease},
		"three heartbeats":   {time.Second, 4 * time.Second, 3 * time.Second},
		"below the bound":    {2 * time.Second, 4 * time.Second, 3600 * time.Millisecond},
		"no reconnect bound": {2 * time.Second, 0, 6 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			s := Settings{Timing: Timing{Heartbeat: desired.Duration(test.heartbeat), ReconnectBound: desired.Duration(test.contact)}}
			if got := s.TargetLease(); got != test.want {
				t.Errorf("%v, want %v", got, test.want)
			}
		})
	}
}

// TestParseLenient checks that a file that another system writes may have unknown fields and is
// validated otherwise.
func TestParseLenient(t *testing.T) {
	const valid = `{"instance":"v","region":"r","domain":"d","control":"127.0.0.1:1","peer":"127.0.0.1:2","data":"x","seeds":["127.0.0.1:1"],"new":{"a":1}}`
	if _, faults := ParseLenient([]byte(valid)); len(faults) > 0 {
		t.Error(faults)
	}
	if _, faults := Parse([]byte(valid)); len(faults) == 0 {
		t.Error("an unknown field was accepted by the strict parser")
	}
	for name, text := range map[string]string{
		"cut short":      valid[:40],
		"no peers":       `{"instance":"e","region":"r","domain":"d","control":"127.0.0.1:1","peer":"127.0.0.1:2","callers":"127.0.0.1:3"}`,
		"seed":           `{"instance":"v","region":"r","domain":"d","control":"127.0.0.1:1","peer":"127.0.0.1:2","data":"x","seeds":["nowhere"]}`,
		"unknown wire":   `{"instance":"v","region":"r","domain":"d","control":"127.0.0.1:1","peer":"127.0.0.1:2","data":"x","seeds":["127.0.0.1:1"],"wire":"odd"}`,
		"negative retry": `{"instance":"v","region":"r","domain":"d","control":"127.0.0.1:1","peer":"127.0.0.1:2","data":"x","seeds":["127.0.0.1:1"],"retries":{"ratio":-1}}`,
	} {
		if _, faults := ParseLenient([]byte(text)); len(faults) == 0 {
			t.Errorf("%s: no fault", name)
		}
	}
}

// TestFractionalSlack checks that the slack of the retry limit may be a fraction, as it is where a
// large site is played at a share of its traffic.
func TestFractionalSlack(t *testing.T) {
	const text = `{"instance":"v","region":"r","domain":"d","control":"127.0.0.1:1","peer":"127.0.0.1:2","data":"x","seeds":["127.0.0.1:1"],"retries":{"ratio":0.2,"window":"10s","slack":35.9}}`
	s, faults := ParseLenient([]byte(text))
	if len(faults) > 0 || s.Retries.Slack != 35.9 {
		t.Errorf("faults %v", faults)
	}
}
