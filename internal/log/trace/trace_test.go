package trace

import (
	"strings"
	"testing"
)

const entryLog = `time="2026-05-28T00:26:19.000Z" level=info msg=started event=started instance=e1
time="2026-05-28T00:26:30.000Z" level=info msg="target chosen" event=placed instance=e1 request=r1 rule=x target=t1 wait=3
time="2026-05-28T00:26:30.100Z" level=info msg="attempt failed, another follows" cause="target t1: \"reset\"" event=forward_again instance=e1 request=r1
time="2026-05-28T00:26:30.120Z" level=info msg="configuration lease changed" cause="no reply" event=lease_lost instance=e1
time="2026-05-28T00:26:30.200Z" level=info msg="request not answered whole" cause="target t2: answer broke off" event=forward_failed instance=e1 request=r1
time="2026-05-28T00:26:30.300Z" level=info msg="request answered" event=forwarded instance=e1 request=r2
this is no line of a log
`

const otherLog = `time="2026-05-28T00:26:30.050Z" level=info msg="leadership changed" active=false event=leadership instance=v1
`

func assemble(t *testing.T, request string) (Trace, bool) {
	t.Helper()
	var lines []Line
	for _, log := range []string{entryLog, otherLog} {
		found, err := Read(strings.NewReader(log), request)
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, found...)
	}
	return Assemble(request, lines)
}

// TestAssemble checks which lines a trace contains and which cause it reports.
func TestAssemble(t *testing.T) {
	s, ok := assemble(t, "r1")
	if !ok || s.Cause != "forward_failed at e1: target t2: answer broke off" {
		t.Errorf("%v %q", ok, s.Cause)
	}
	var events []string
	for _, l := range s.Lines {
		events = append(events, l.Event)
	}
	if got := strings.Join(events, " "); got != "placed forward_again lease_lost forward_failed" {
		t.Error(got)
	}
	if s, ok := assemble(t, "r2"); !ok || s.Cause != "" {
		t.Errorf("successful request: %v, cause %q", ok, s.Cause)
	}
	if _, ok := assemble(t, "r3"); ok {
		t.Error("found a trace of a request that is in no log")
	}
}

// TestParse checks that quoted values are unescaped.
func TestParse(t *testing.T) {
	l, ok := Parse(`time="2026-05-28T00:26:30.100Z" msg="a b=c" cause="target: \"x\" y" event=z n=3`)
	if !ok || l.Fields["msg"] != "a b=c" || l.Fields["cause"] != `target: "x" y` || l.Fields["n"] != "3" || l.Event != "z" {
		t.Errorf("%v %+v", ok, l)
	}
}

// FuzzParse checks that no line causes a panic.
func FuzzParse(f *testing.F) {
	f.Add(`time="2026-05-28T00:26:30.100Z" msg="a b=c" event=z`)
	f.Add(`=`)
	f.Add(`a="\`)
	f.Fuzz(func(_ *testing.T, text string) { Parse(text) })
}
