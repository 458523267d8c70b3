package budget

import (
	"fmt"
	"testing"

	"github.com/hickoryridge/hickoryridge/ident"
)

// TestAccounts checks what accounts may hold beside each other, and that nothing stays drawn.
func TestAccounts(t *testing.T) {
	type step struct {
		source string
		hold   ident.Bytes
		ok     bool
	}
	for name, steps := range map[string][]step{
		"within the free part":     {{"a", 10, true}},
		"the share of a source":    {{"a", 85, true}, {"a", 86, false}, {"a", 85, true}},
		"the rest for another one": {{"a", 85, true}, {"b", 35, true}, {"c", 11, false}, {"c", 10, true}},
		"less again":               {{"a", 85, true}, {"a", 20, true}, {"b", 85, true}},
		"refused, then released":   {{"a", 1000, false}, {"a", 0, true}, {"a", 85, true}},
	} {
		t.Run(name, func(t *testing.T) {
			b := New(100)
			accounts := map[string]*Account{}
			for i, s := range steps {
				if accounts[s.source] == nil {
					a := b.Account(s.source, 10)
					accounts[s.source] = &a
				}
				if ok := accounts[s.source].Hold(s.hold); ok != s.ok {
					t.Errorf("step %d: holding %d for %s: %v", i, s.hold, s.source, ok)
				}
			}
			for _, a := range accounts {
				a.Release()
			}
			if b.Drawn() != 0 || len(b.sources) != 0 {
				t.Errorf("%d bytes of %d sources stay drawn", b.Drawn(), len(b.sources))
			}
		})
	}
}

func ExampleAccount_Hold() {
	b := New(100)
	a := b.Account("10.0.0.1:8080", 4)
	defer a.Release()
	fmt.Println(a.Hold(50), a.Hold(200), b.Drawn())
	// Output: true false 46
}
