// Package engine is a client for model engines. It implements chat completions as server-sent
// events, the transfer of KV cache between engines, and orders.
//
// The protocol is the chat-completions interface that model engines commonly offer. Every attempt
// carries its own id, which the engine repeats in every chunk, and each chunk carries the offset of
// its token in the complete answer. Answer checks both, so that late, mixed-up, duplicated or
// truncated replies never reach a caller. A truncated answer is continued at another engine by
// sending the text generated so far as the beginning of the assistant's message.
package engine

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
)

// DefaultMaxTokens bounds the answer to a request that sets no limit.
const DefaultMaxTokens ident.Tokens = 256

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Request is a chat-completions request. Unrecognized fields are kept in Extra and passed on to the
// engine.
type Request struct {
	Model     string
	Messages  []Message
	MaxTokens ident.Tokens
	Stream    bool
	Extra     map[string]json.RawMessage
}

// ParseRequest decodes and validates a caller's request. Errors are of kind fault.BadRequest.
func ParseRequest(body []byte) (*Request, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, fault.New(fault.BadRequest, "request body: %v", err)
	}
	r := &Request{MaxTokens: DefaultMaxTokens}
	known := map[string]any{
		"model": &r.Model, "messages": &r.Messages, "max_tokens": &r.MaxTokens, "stream": &r.Stream,
	}
	for name, into := range known {
		raw, ok := fields[name]
		delete(fields, name)
		if !ok {
			continue
		}
		if err := json.Unmarshal(raw, into); err != nil {
			return nil, fault.New(fault.BadRequest, "$.%s: %v", name, err)
		}
	}
	r.Extra = fields
	switch {
	case r.Model == "":
		return nil, fault.New(fault.BadRequest, "$.model: missing")
	case len(r.Messages) == 0:
		return nil, fault.New(fault.BadRequest, "$.messages: must have at least one message")
	case r.MaxTokens <= 0:
		return nil, fault.New(fault.BadRequest, "$.max_tokens: must be at least 1")
	}
	return r, nil
}

// Prompt returns the text that the engine processes before it answers.
func (r *Request) Prompt() []byte {
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return []byte(b.String())
}

// KVHandle identifies KV cache that one engine holds for transfer to another.
type KVHandle struct {
	Address string       `json:"address"` // engine that exports the cache
	ID      string       `json:"id"`
	Tokens  ident.Tokens `json:"tokens"`
}

// Call is one attempt at an engine.
type Call struct {
	Attempt  ident.AttemptID
	Request  *Request
	Adapter  string
	Priority int
	Prefix   string    // answer text generated so far, to be continued
	Offset   int       // number of tokens in Prefix
	Import   *KVHandle // KV cache to import; nil if there is none
	Export   bool      // process the prompt only, and export its KV cache
	// Head is called with the status and the headers of the response; it may be nil.
	Head func(status int, h http.Header)
}

// wireRequest is the JSON form of a Call.
type wireRequest struct {
	Model     string       `json:"model"`
	Messages  []Message    `json:"messages"`
	MaxTokens ident.Tokens `json:"max_tokens"`
	Stream    bool         `json:"stream"`
	Priority  int          `json:"priority,omitempty"`
	Continue  bool         `json:"continue_final_message,omitempty"`
	Generate  *bool        `json:"add_generation_prompt,omitempty"`
	Offset    int          `json:"offset,omitempty"`
	Transfer  *kvTransfer  `json:"kv_transfer_params,omitempty"`
}

// kvTransfer requests or offers a transfer of KV cache.
type kvTransfer struct {
	RemoteDecode bool      `json:"do_remote_decode,omitempty"`
	Handover     *KVHandle `json:"handover,omitempty"`
}

// encode returns the JSON body of the attempt's request.
func (c Call) encode() ([]byte, error) {
	w := wireRequest{
		Model: c.Request.Model, Messages: c.Request.Messages, MaxTokens: c.Request.MaxTokens - ident.Tokens(c.Offset),
		Stream: !c.Export, Priority: c.Priority, Offset: c.Offset,
	}
	if c.Adapter != "" {
		w.Model = c.Adapter
	}
	if c.Prefix != "" {
		no := false
		w.Messages = append(w.Messages[:len(w.Messages):len(w.Messages)], Message{Role: "assistant", Content: c.Prefix})
		w.Continue = true
		w.Generate = &no
	}
	switch {
	case c.Export:
		w.MaxTokens = 1
		w.Transfer = &kvTransfer{RemoteDecode: true}
	case c.Import != nil:
		w.Transfer = &kvTransfer{Handover: c.Import}
	}
	body, err := json.Marshal(w)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err)
	}
	return mergeExtra(body, c.Request.Extra)
}

// mergeExtra adds the caller's unrecognized fields to the body. Fields that the body already has
// take precedence.
func mergeExtra(body []byte, extra map[string]json.RawMessage) ([]byte, error) {
	if len(extra) == 0 {
		return body, nil
	}
	merged := map[string]json.RawMessage{}
	if err := json.Unmarshal(body, &merged); err != nil {
		return nil, fault.Wrap(fault.Internal, err)
	}
	for name, raw := range extra {
		if _, own := merged[name]; !own {
			merged[name] = raw
		}
	}
	out, err := json.Marshal(merged)
	return out, fault.Wrap(fault.Internal, err)
}

// Chunk is one event of a streamed answer.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Offset  *int     `json:"offset,omitempty"` // offset of the chunk's token in the complete answer
	Choices []Choice `json:"choices"`
}

// Choice is the single choice of a Chunk.
type Choice struct {
	Index  int     `json:"index"`
	Delta  Delta   `json:"delta"`
	Finish *string `json:"finish_reason"`
}

// Delta is the text that a chunk adds.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Completion is a complete answer.
type Completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
	Usage   Usage              `json:"usage"`

	Transfer *kvTransfer `json:"kv_transfer_params,omitempty"`
}

// CompletionChoice is the single choice of a Completion.
type CompletionChoice struct {
	Index   int     `json:"index"`
	Message Message `json:"message"`
	Finish  string  `json:"finish_reason"`
}

// Usage is the token count of a request.
type Usage struct {
	Prompt     ident.Tokens `json:"prompt_tokens"`
	Completion ident.Tokens `json:"completion_tokens"`
}
