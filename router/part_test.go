package router

import (
	"math"
	"testing"

	"github.com/hickoryridge/hickoryridge/ident"
)

// TestClaimedPromptLength guards against a request that ended the process: it claimed a prompt of 10^12 tokens, and
// a hash was made for each block of them.
func TestClaimedPromptLength(t *testing.T) {
	last := Part{ID: "own", Tokens: 1}
	for name, test := range map[string]struct {
		parts  []Part
		tokens ident.Tokens
		blocks int
	}{
		"none":                {nil, 0, 0},
		"short":               {[]Part{{"a", 10 * BlockTokens}, last}, 10*BlockTokens + 1, 10},
		"longest":             {[]Part{{"a", MaxPromptTokens - 1}, last}, MaxPromptTokens, int(MaxPromptTokens / BlockTokens)},
		"longer":              {[]Part{{"a", MaxPromptTokens}, last}, MaxPromptTokens + 1, int(MaxPromptTokens / BlockTokens)},
		"far longer":          {[]Part{{"a", 1_000_000_000}, last}, MaxPromptTokens + 1, int(MaxPromptTokens / BlockTokens)},
		"many long parts":     {[]Part{{"a", 1_000_000_000}, {"b", 1_000_000_000}, last}, MaxPromptTokens + 1, int(MaxPromptTokens / BlockTokens)},
		"negative":            {[]Part{{"a", math.MinInt64}, {"b", 2 * BlockTokens}, last}, 2*BlockTokens + 1, 2},
		"negative at the end": {[]Part{{"a", MaxPromptTokens}, {"b", -1}, last}, MaxPromptTokens + 1, int(MaxPromptTokens / BlockTokens)},
	} {
		t.Run(name, func(t *testing.T) {
			if got := PartTokens(test.parts); got != test.tokens {
				t.Errorf("%d tokens, want %d", got, test.tokens)
			}
			if got := len(PartBlockHashes(nil, test.parts)); got != test.blocks {
				t.Errorf("%d blocks, want %d", got, test.blocks)
			}
		})
	}
}
