// Package trace reconstructs the history of one request from the logs of many instances.
//
// Log lines consist of key=value pairs. The trace of a request contains its own lines in
// order of time, and the lines about state changes of the same instances shortly before
// and during the request, because these often show the cause of a failure.
package trace

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Line is a parsed log line.
type Line struct {
	Time   time.Time
	Event  string
	Fields map[string]string
	Text   string // unparsed line
}

// contextWindow is the time before a request's first line from which state changes are
// included in its trace.
const contextWindow = 3 * time.Second

// maxLineBytes is the length limit of a line. Reading a log with a longer line fails.
const maxLineBytes = 1 << 20

// stateEvents are the events that report a state change of an instance.
var stateEvents = []string{
	"started", "draining", "stopped", "settings_reloaded", "lease_lost", "lease_held", "view", "leadership", "members", "member_lost",
	"link_up", "link_down", "target_changed", "target_leaves", "voter_stopped", "voter_reopened", "disk_slow", "paused", "log_dropped",
}

// Parse parses a line of key=value pairs. ok is false if it has no valid time or no event.
func Parse(text string) (l Line, ok bool) {
	l = Line{Fields: map[string]string{}, Text: text}
	for rest := text; ; {
		i := strings.IndexByte(rest, '=')
		if i < 0 {
			break
		}
		key := rest[strings.LastIndexByte(rest[:i], ' ')+1 : i]
		value, tail := splitValue(rest[i+1:])
		l.Fields[key] = value
		rest = tail
	}
	l.Event = l.Fields["event"]
	at, err := time.Parse(time.RFC3339Nano, l.Fields["time"])
	l.Time = at
	return l, err == nil && l.Event != ""
}

// splitValue splits s after the value that it starts with, which may be quoted.
func splitValue(s string) (value, rest string) {
	if !strings.HasPrefix(s, `"`) {
		value, rest, _ = strings.Cut(s, " ")
		return value, rest
	}
	for i := 1; i < len(s); i++ {
		switch s[i] {
		case '\\':
			i++
		case '"':
			return strings.ReplaceAll(s[1:i], `\"`, `"`), s[i+1:]
		}
	}
	return s[1:], ""
}

// Read returns the lines of a log that a request's trace may contain: its own lines, and
// state changes at any time.
func Read(r io.Reader, request string) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		l, ok := Parse(scanner.Text())
		if ok && (l.Fields["request"] == request || slices.Contains(stateEvents, l.Event)) {
			lines = append(lines, l)
		}
	}
	return lines, scanner.Err()
}

// Trace is the history of a request.
type Trace struct {
	Request string `json:"request"`
	Lines   []Line `json:"lines"`
	Cause   string `json:"cause"` // why the request failed; empty if it succeeded
}

// Assemble builds the trace of a request from the lines of several logs. It sorts lines by
// time. ok is false if none of them belongs to the request.
func Assemble(request string, lines []Line) (s Trace, ok bool) {
	s.Request = request
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	first, last := timeBounds(request, lines)
	if last.IsZero() {
		return s, false
	}
	instances := map[string]bool{}
	for _, l := range lines {
		if l.Fields["request"] == request {
			instances[l.Fields["instance"]] = true
		}
	}
	for _, l := range lines {
		own := l.Fields["request"] == request
		near := l.Time.After(first.Add(-contextWindow)) && !l.Time.After(last) && instances[l.Fields["instance"]]
		if own || near {
			s.Lines = append(s.Lines, l)
		}
	}
	s.Cause = failureCause(request, lines)
	return s, true
}

// timeBounds returns the times of the request's first and last line.
func timeBounds(request string, lines []Line) (first, last time.Time) {
	for _, l := range lines {
		if l.Fields["request"] != request {
			continue
		}
		if first.IsZero() {
			first = l.Time
		}
		last = l.Time
	}
	return first, last
}

// failureCause describes the request's last failure. It returns the empty string if the
// request succeeded afterwards, or never failed.
func failureCause(request string, lines []Line) string {
	text := ""
	for _, l := range lines {
		if l.Fields["request"] != request {
			continue
		}
		switch l.Event {
		case "forward_failed", "refused":
			text = fmt.Sprintf("%s at %s: %s", l.Event, l.Fields["instance"], l.Fields["cause"])
		case "forwarded":
			text = ""
		}
	}
	return text
}
