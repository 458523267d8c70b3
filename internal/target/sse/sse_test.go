package sse

import (
	"fmt"
	"testing"
)

// TestSplitter feeds streams in chunks of every size.
func TestSplitter(t *testing.T) {
	for name, test := range map[string]struct {
		stream, whole, id string
		rest              int
	}{
		"complete":           {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "2", 0},
		"cut":                {"id: 1\ndata: a\n\nid: 2\ndat", "id: 1\ndata: a\n\n", "1", 9},
		"cut in a separator": {"id: 1\ndata: a\n\nid: 2\ndata: b\n", "id: 1\ndata: a\n\n", "1", 14},
		"carriage returns":   {"id: 7\r\ndata: a\r\n\r\n", "id: 7\r\ndata: a\r\n\r\n", "7", 0},
		"no id":              {"data: a\n\n", "data: a\n\n", "", 0},
		"id without a space": {"data: a\nid:9\n\n", "data: a\nid:9\n\n", "9", 0},
		"empty":              {"", "", "", 0},
		"id in the data":     {"data: id: 3\n\n", "data: id: 3\n\n", "", 0},
	} {
		for size := 1; size <= len(test.stream)+1; size++ {
			t.Run(fmt.Sprint(name, " ", size), func(t *testing.T) {
				var c Splitter
				whole, id := "", ""
				for from := 0; from < len(test.stream); from += size {
					c.Add([]byte(test.stream[from:min(from+size, len(test.stream))]))
					events, last := c.Take()
					whole += string(events)
					if last != "" {
						id = last
					}
				}
				if whole != test.whole || id != test.id || c.Buffered() != test.rest {
					t.Errorf("events %q, ID %q, %d bytes buffered", whole, id, c.Buffered())
				}
			})
		}
	}
}

func ExampleSplitter() {
	var c Splitter
	c.Add([]byte("id: 1\ndata: first\n\nid: 2\ndata: sec"))
	events, id := c.Take()
	fmt.Printf("%q, last ID %s, %d bytes buffered\n", events, id, c.Buffered())
	// Output: "id: 1\ndata: first\n\n", last ID 1, 15 bytes buffered
}
