package standin

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// vocabulary holds the words of generated answers.
var vocabulary = []string{
	"develop", "push", "one", "stop", "at", "twenty", "degrees", "then", "fix", "and", "wash",
	"claim", "qualifies", "with", "tank", "of", "litres", "rain", "roof", "paid", "in", "full",
}

// AnswerToken returns token i of the generated answer to a prompt. It is a function of its
// arguments, so that clients can verify an answer and any engine can resume it.
func AnswerToken(prompt string, i int) string {
	h := xxhash.Sum64String(prompt) + uint64(i)*0x9e3779b97f4a7c15
	h ^= h >> 29
	return vocabulary[h%uint64(len(vocabulary))] + " "
}

// AnswerText returns the first n tokens of the generated answer to a prompt.
func AnswerText(prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(AnswerToken(prompt, i))
	}
	return b.String()
}
