// Package trace finds in the logs of many processes what became of one request.
//
// Lines are key=value pairs as the instances write them. The story of a request is its own lines
// in the order of their times; around it stand the lines in which the same instances changed what
// they believe, since these often hold the cause.
package trace

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Line is one line of a log.
type Line struct {
	Time   time.Time
	Event  string
	Fields map[string]string
	Text   string // as it stands in the log
}

// contextWindow is the time before a request within which changed beliefs belong to its story.
const contextWindow = 3 * time.Second

// maxLineBytes bounds a line in bytes; longer ones are cut by the reader.
const maxLineBytes = 1 << 20

// stateEvents are the events that change what an instance believes.
var stateEvents = []string{
	"started", "draining", "stopped", "settings_reloaded", "lease_lost", "lease_held", "view", "leadership", "members", "member_lost",
	"link_up", "link_down", "target_changed", "target_leaves", "voter_stopped", "voter_reopened", "log_dropped",
}

// Parse decodes a line. ok is false if it has no time or event.
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

// splitValue splits a value, quoted or not, from what follows it.
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

// Read adds the lines of a log that belong to a request's story: its own, and changed
// beliefs of any time.
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

// Trace is what became of a request.
type Trace struct {
	Request string `json:"request"`
	Lines   []Line `json:"lines"`
	Cause   string `json:"cause"` // why it failed; empty if it was answered
}

// Assemble puts the lines of several logs into the story of a request. ok is false if no
// line is the request's own.
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

// failureCause returns what the request's last failure says.
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
