package sse

import (
	"fmt"
	"testing"
)

// TestSequence checks which events follow each other.
func TestSequence(t *testing.T) {
	event := func(id int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", id) }
	for name, test := range map[string]struct {
		after, events string
		follow        int // bytes
		ok            bool
	}{
		"from the start":       {"", event(1) + event(2), 2 * len(event(1)), true},
		"from zero":            {"", event(0) + event(1), 2 * len(event(1)), true},
		"after another":        {"7", event(8) + event(12), len(event(8) + event(12)), true},
		"zero twice":           {"", event(0) + event(0), len(event(0)), false},
		"nothing":              {"7", "", 0, true},
		"the same again":       {"7", event(7), 0, false},
		"twice":                {"7", event(8) + event(8), len(event(8)), false},
		"backwards":            {"", event(2) + event(1), len(event(2)), false},
		"without an id":        {"", event(1) + "data: x\n\n", len(event(1)), false},
		"after no number":      {"x", event(1), 0, false},
		"no number":            {"", "id: x\n\n", 0, false},
		"a comment":            {"7", ": wait\n\n" + event(8), len(": wait\n\n" + event(8)), true},
		"incomplete":           {"7", event(8) + "id: 9\n", len(event(8)), false},
		"a line before the id": {"7", "x-weight-versions: 4\n" + event(8), len("x-weight-versions: 4\n" + event(8)), true},
	} {
		t.Run(name, func(t *testing.T) {
			s := After(test.after)
			if n, err := s.Follow([]byte(test.events)); n != test.follow || (err == nil) != test.ok {
				t.Errorf("%d bytes follow, %v", n, err)
			}
		})
	}
}
