package feed

import (
	"fmt"
	"testing"
)

// TestSince checks that a reader that keeps up receives every item once, and that other readers
// receive the newest items.
func TestSince(t *testing.T) {
	l := New[int](7, 10)
	var cursor Cursor
	want := 0
	for i := range 100 {
		l.Append(i)
		if i%3 > 0 {
			continue
		}
		items, next := l.Since(cursor)
		for _, item := range items {
			if item != want {
				t.Fatalf("got item %d, want %d", item, want)
			}
			want++
		}
		cursor = next
	}
	for name, c := range map[string]Cursor{"of another run": {Run: 6, Next: 99}, "of none": {}, "too old": {Run: 7, Next: 3}} {
		if items, _ := l.Since(c); len(items) < 10 || items[len(items)-1] != 99 {
			t.Errorf("cursor %s: %v", name, items)
		}
	}
	if items, _ := l.Since(Cursor{Run: 7, Next: 1000}); len(items) != 0 {
		t.Errorf("cursor ahead of the log: got %v, want no items", items)
	}
}

func ExampleLog() {
	l := New[string](1, 100)
	l.Append("a", "b")
	items, cursor := l.Since(Cursor{})
	fmt.Println(items)
	l.Append("c")
	items, _ = l.Since(cursor)
	fmt.Println(items)
	// Output:
	// [a b]
	// [c]
}
