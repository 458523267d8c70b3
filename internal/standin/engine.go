package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/engine"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/router"
	"github.com/hickoryridge/hickoryridge/target"
)

// EngineConfig describes a fake engine.
type EngineConfig struct {
	Model   string
	Version string
	Role    desired.Role
	Rates   Rates
	Speed   float64 // divides every duration; 0 means 1
	Fencing bool    // refuse orders with an old fencing number
}

// Fault is a misbehaviour that the fake shows for a number of requests.
type Fault struct {
	Count     int  `json:"count"`     // requests that it applies to
	CutAfter  int  `json:"cutafter"`  // tokens after which the connection breaks
	NoEnd     bool `json:"noend"`     // end without the end mark
	Cross     bool `json:"cross"`     // one chunk carries another request's id
	Duplicate bool `json:"duplicate"` // every chunk comes twice
	Refuse    int  `json:"refuse"`    // status to refuse with
}

// OrderRecord is an order as the engine received it.
type OrderRecord struct {
	Order    engine.Order `json:"order"`
	Refused  bool         `json:"refused"`
	Conflict bool         `json:"conflict"` // another order was being carried out
	Cut      int          `json:"cut"`      // requests that it cut
}

// Engine is a fake model engine behind HTTP.
type Engine struct {
	cfg      EngineConfig
	start    ident.Incarnation
	listener net.Listener
	server   *http.Server
	cancel   context.CancelFunc
	wake     chan struct{}

	mu       sync.Mutex
	model    *Model
	streams  map[string]chan Output
	exports  map[string]ident.Tokens
	state    engine.State
	fence    ident.FencingToken
	orders   []OrderRecord
	served   int
	fault    Fault
	sequence uint64
	events   []target.CacheEvent
}

const cacheEventsKept = 64

// StartEngine serves a fake engine on addr until Close.
func StartEngine(addr string, cfg EngineConfig) (*Engine, error) {
	if cfg.Speed == 0 {
		cfg.Speed = 1
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Engine{
		cfg: cfg, start: ident.Incarnation(time.Now().UnixNano()), listener: l, cancel: cancel,
		wake: make(chan struct{}, 1), model: NewModel(cfg.Rates, cfg.Role),
		streams: map[string]chan Output{}, exports: map[string]ident.Tokens{},
	}
	e.state = engine.State{Incarnation: e.start, Role: cfg.Role, Model: cfg.Model, Version: cfg.Version}
	r := chi.NewRouter()
	r.Post(engine.PathChat, e.chat)
	r.Post(engine.PathOrder, e.order)
	r.Get(engine.PathState, e.getState)
	r.Post("/v1/kv/{id}", e.export)
	r.Post("/fault", e.setFault)
	r.Get("/orders", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Orders()) })
	e.server = &http.Server{Handler: r, ReadTimeout: engine.OrderSendTimeout, IdleTimeout: time.Minute}
	go func() { _ = e.server.Serve(l) }() // ends with Close
	go e.run(ctx)
	return e, nil
}

// Addr returns the address that the engine serves on.
func (e *Engine) Addr() string { return e.listener.Addr().String() }

// Incarnation returns the engine's start.
func (e *Engine) Incarnation() ident.Incarnation { return e.start }

// Close ends the engine at once, as a crash does.
func (e *Engine) Close() {
	e.cancel()
	_ = e.server.Close() // a fake that has gone
}

// Orders returns the orders that the engine received.
func (e *Engine) Orders() []OrderRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]OrderRecord(nil), e.orders...)
}

// Served returns the number of requests that the engine has taken.
func (e *Engine) Served() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.served
}

// SetFault makes the engine misbehave.
func (e *Engine) SetFault(f Fault) {
	e.mu.Lock()
	e.fault = f
	e.mu.Unlock()
}

// FaultsLeft returns the number of requests that the fault still applies to.
func (e *Engine) FaultsLeft() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fault.Count
}

// State returns the engine's state.
func (e *Engine) State() engine.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.state
	s.Running = len(e.streams)
	return s
}

// Report returns what the engine announces of its load.
func (e *Engine) Report() (target.Load, *target.EngineReport, []target.CacheEvent) {
	e.mu.Lock()
	defer e.mu.Unlock()
	stored, evicted := e.model.TakeEvents()
	if len(stored)+len(evicted) > 0 {
		e.sequence++
		e.events = append(e.events, target.CacheEvent{Sequence: e.sequence, Stored: hex(stored), Evicted: hex(evicted)})
		e.events = e.events[max(0, len(e.events)-cacheEventsKept):]
	}
	load := target.Load{
		Waiting: e.model.Backlog(), Running: e.model.Running(), Slots: e.cfg.Rates.Batch,
		Prefill: ident.TokensPerSecond(float64(e.cfg.Rates.Prefill) * e.cfg.Speed),
		Decode:  ident.TokensPerSecond(float64(e.cfg.Rates.Decode()) * e.cfg.Speed), Measured: time.Now().UnixMilli(),
	}
	report := &target.EngineReport{
		Role: e.state.Role, Model: e.state.Model, Version: e.state.Version, Order: e.state.LastOrder, Busy: e.state.CurrentOrder != "",
	}
	return load, report, append([]target.CacheEvent(nil), e.events...)
}

func hex(pieces []uint64) []string {
	out := make([]string, len(pieces))
	for i, h := range pieces {
		out[i] = fmt.Sprintf("%016x", h)
	}
	return out
}

// run steps the model in scaled time.
func (e *Engine) run(ctx context.Context) {
	for {
		e.mu.Lock()
		d, out := e.model.Step()
		e.mu.Unlock()
		if d == 0 {
			select {
			case <-ctx.Done():
				return
			case <-e.wake:
			}
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(float64(d) / e.cfg.Speed)):
		}
		e.mu.Lock()
		for _, o := range out {
			if c := e.streams[o.ID]; c != nil {
				c <- o // has room for the whole answer
			}
		}
		e.mu.Unlock()
	}
}

// chatRequest is the part of a request that the fake looks at.
type chatRequest struct {
	Model     string           `json:"model"`
	Messages  []engine.Message `json:"messages"`
	MaxTokens int              `json:"max_tokens"`
	Stream    bool             `json:"stream"`
	Priority  int              `json:"priority"`
	Continue  bool             `json:"continue_final_message"`
	Offset    int              `json:"offset"`
	Transfer  *struct {
		RemoteDecode bool             `json:"do_remote_decode"`
		Handover     *engine.KVHandle `json:"handover"`
	} `json:"kv_transfer_params"`
}

// prompt returns the messages without the answer that is to be continued.
func (c chatRequest) prompt() string {
	messages := c.Messages
	if c.Continue {
		messages = messages[:len(messages)-1]
	}
	return string((&engine.Request{Messages: messages}).Prompt())
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	var c chatRequest
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil || len(c.Messages) == 0 {
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	id := r.Header.Get(engine.HeaderRequestID)
	prompt := c.prompt()
	work := Work{
		ID: id, Prompt: router.TokensIn(len(prompt)) + ident.Tokens(c.Offset), Priority: c.Priority,
		Pieces: router.BlockHashes(nil, []byte(prompt)), Answer: c.MaxTokens,
	}
	if c.Transfer != nil {
		work.Export = c.Transfer.RemoteDecode
		if h := c.Transfer.Handover; h != nil {
			if err := importKV(r.Context(), *h); err != nil {
				http.Error(w, err.Error(), http.StatusFailedDependency)
				return
			}
			work.Imported = true
		}
	}
	out, f, status := e.begin(work)
	if status != 0 {
		http.Error(w, "not now", status)
		return
	}
	defer e.end(id)
	if work.Export {
		e.finishExport(w, r, work, out)
		return
	}
	e.stream(w, r, streamOf{c: c, id: id, prompt: prompt, out: out, fault: f})
}

// importKV takes over the cache that another engine holds.
func importKV(ctx context.Context, h engine.KVHandle) error {
	return post(ctx, h.Address, "/v1/kv/"+h.ID, nil, http.StatusOK)
}

func (e *Engine) begin(w Work) (chan Output, Fault, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state.CurrentOrder != "" {
		return nil, Fault{}, http.StatusServiceUnavailable
	}
	var f Fault
	if e.fault.Count > 0 {
		e.fault.Count--
		f = e.fault
	}
	if f.Refuse != 0 {
		return nil, f, f.Refuse
	}
	c := make(chan Output, w.Answer+1)
	e.served++
	e.streams[w.ID] = c
	e.model.Add(w)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return c, f, 0
}

func (e *Engine) end(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.streams[id]; ok {
		delete(e.streams, id)
		e.model.Cancel(id)
	}
}

func (e *Engine) finishExport(w http.ResponseWriter, r *http.Request, work Work, out chan Output) {
	select {
	case <-r.Context().Done():
		return
	case _, ok := <-out:
		if !ok {
			return // cut by an order
		}
	}
	e.mu.Lock()
	e.exports[work.ID] = work.Prompt
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{
		"id": work.ID, "object": "chat.completion", "choices": []any{},
		"kv_transfer_params": map[string]any{"handover": engine.KVHandle{Address: e.Addr(), ID: work.ID, Tokens: work.Prompt}},
	})
}

func (e *Engine) export(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	e.mu.Lock()
	n, ok := e.exports[id]
	delete(e.exports, id)
	e.mu.Unlock()
	if !ok {
		http.Error(w, "no such cache", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, map[string]ident.Tokens{"tokens": n})
}

// streamOf is one answer in progress.
type streamOf struct {
	c      chatRequest
	id     string
	prompt string
	out    chan Output
	fault  Fault
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, s streamOf) {
	w.Header().Set("Content-Type", "text/event-stream")
	flush := w.(http.Flusher)
	for n := 0; ; n++ {
		var o Output
		var ok bool
		select {
		case <-r.Context().Done():
			return
		case o, ok = <-s.out:
		}
		if !ok || (s.fault.CutAfter > 0 && n >= s.fault.CutAfter) {
			panic(http.ErrAbortHandler) // breaks the connection
		}
		s.write(w, o)
		flush.Flush()
		if o.Done {
			break
		}
	}
	if s.fault.NoEnd {
		return
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n") // a reader that has gone
}

func (s streamOf) write(w io.Writer, o Output) {
	at := s.c.Offset + o.Token
	chunk := engine.Chunk{
		ID: s.id, Object: "chat.completion.chunk", Model: s.c.Model, Offset: &at,
		Choices: []engine.Choice{{Delta: engine.Delta{Content: Token(s.prompt, at)}}},
	}
	if o.Done && !s.fault.NoEnd {
		finish := "length"
		chunk.Choices[0].Finish = &finish
	}
	if s.fault.Cross && o.Token == 1 {
		chunk.ID = "another"
	}
	data, _ := json.Marshal(chunk) // plain data
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
	if s.fault.Duplicate && !o.Done {
		_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
	}
}

func (e *Engine) setFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFault(f)
}

func (e *Engine) getState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.State())
}

// order carries out an order, as engines do: at once, cutting what runs.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.ID == e.state.CurrentOrder || o.ID == e.state.LastOrder {
		w.WriteHeader(http.StatusAccepted)
		return
	}
	rec := OrderRecord{Order: o, Conflict: e.state.CurrentOrder != ""}
	if e.cfg.Fencing && o.Fence < e.fence {
		rec.Refused = true
		e.orders = append(e.orders, rec)
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	rec.Cut = len(e.streams)
	for id, c := range e.streams {
		close(c)
		delete(e.streams, id)
	}
	e.model.Clear()
	e.fence = max(e.fence, o.Fence)
	e.orders = append(e.orders, rec)
	e.state.CurrentOrder = o.ID
	time.AfterFunc(time.Duration(float64(e.cfg.Rates.ChangeTime)/e.cfg.Speed), func() { e.carriedOut(o) })
	w.WriteHeader(http.StatusAccepted)
}

func (e *Engine) carriedOut(o engine.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state.CurrentOrder != o.ID {
		return
	}
	e.state.CurrentOrder = ""
	e.state.LastOrder = o.ID
	if o.Wish.Role != "" {
		e.state.Role = o.Wish.Role
		e.model.SetRole(o.Wish.Role)
	}
	if o.Wish.Model != "" {
		e.state.Model = o.Wish.Model
	}
	if o.Wish.Version != "" {
		e.state.Version = o.Wish.Version
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // a reader that has gone
}
