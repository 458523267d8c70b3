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
	// Software is the version of the engine's software; empty if it names none.
	Software ident.SoftwareVersion
	Role     desired.Role
	Rates    Rates
	Speed    float64 // divides every duration of the model; 0 means 1
	Fencing  bool    // refuse orders with a stale fencing token
}

// Fault is a fault to inject into a number of requests.
type Fault struct {
	Count     int  `json:"count"`     // requests that the fault applies to
	CutAfter  int  `json:"cutafter"`  // tokens after which the connection is reset; 0 for never
	NoEnd     bool `json:"noend"`     // end the stream without a finish reason and an end marker
	Cross     bool `json:"cross"`     // send one chunk with another request's ID
	Duplicate bool `json:"duplicate"` // send every chunk but the last twice
	Refuse    int  `json:"refuse"`    // status to refuse the request with; 0 to accept it
}

// OrderRecord is an order that the engine received and how it handled it.
type OrderRecord struct {
	Order    engine.Order `json:"order"`
	Refused  bool         `json:"refused"`
	Conflict bool         `json:"conflict"` // another order was in progress
	Cut      int          `json:"cut"`      // requests that the order aborted
}

// Engine is a fake model engine that serves a Model over HTTP. It is safe for concurrent
// use.
type Engine struct {
	Limit RateLimit

	cfg         EngineConfig
	incarnation ident.Incarnation
	listener    net.Listener
	server      *http.Server
	cancel      context.CancelFunc
	wake        chan struct{} // signals runSteps that a request is queued

	mu            sync.Mutex
	model         *Model
	streams       map[string]chan Output  // by request ID; an order closes them
	exportedKV    map[string]ident.Tokens // prompt tokens by request ID
	state         engine.State
	fence         ident.FencingToken // highest token of the accepted orders
	orders        []OrderRecord
	served        int
	fault         Fault
	eventSequence uint64
	cacheEvents   []target.CacheEvent // the latest maxCacheEvents
}

// maxCacheEvents is the number of latest cache events in a report.
const maxCacheEvents = 64

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
		cfg: cfg, incarnation: ident.Incarnation(time.Now().UnixNano()), listener: l, cancel: cancel,
		wake: make(chan struct{}, 1), model: NewModel(cfg.Rates, cfg.Role),
		streams: map[string]chan Output{}, exportedKV: map[string]ident.Tokens{},
	}
	e.state = engine.State{Incarnation: e.incarnation, Role: cfg.Role, Model: cfg.Model, Version: cfg.Version}
	r := chi.NewRouter()
	r.With(e.Limit.wrap).Post(engine.PathChat, e.handleChat)
	r.Post("/limit", e.Limit.handle)
	r.Post(engine.PathOrder, e.handleOrder)
	r.Get(engine.PathState, e.handleState)
	r.Post("/v1/kv/{id}", e.handleKVFetch)
	r.Post("/fault", e.handleFault)
	r.Get("/orders", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Orders()) })
	e.server = &http.Server{Handler: r, ReadTimeout: engine.OrderSendTimeout, IdleTimeout: time.Minute}
	go func() { _ = e.server.Serve(l) }() // returns on Close
	go e.runSteps(ctx)
	return e, nil
}

// Addr returns the engine's listen address.
func (e *Engine) Addr() string { return e.listener.Addr().String() }

// Incarnation returns the incarnation of this start of the engine.
func (e *Engine) Incarnation() ident.Incarnation { return e.incarnation }

// Close stops the engine and resets its connections, as a crash does.
func (e *Engine) Close() {
	e.cancel()
	_ = e.server.Close() // an error does not matter after a simulated crash
}

// Orders returns the orders that the engine received, except repeated ones.
func (e *Engine) Orders() []OrderRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]OrderRecord(nil), e.orders...)
}

// Served returns the number of requests that the engine has accepted.
func (e *Engine) Served() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.served
}

// SetFault injects f into the next f.Count requests.
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

// State returns the engine's state as its state endpoint reports it.
func (e *Engine) State() engine.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.state
	s.Running = len(e.streams)
	return s
}

// Report returns the load, state and latest cache events that the engine announces.
func (e *Engine) Report() (target.Load, *target.EngineReport, []target.CacheEvent) {
	e.mu.Lock()
	defer e.mu.Unlock()
	stored, evicted := e.model.TakeCacheEvents()
	if len(stored)+len(evicted) > 0 {
		e.eventSequence++
		e.cacheEvents = append(e.cacheEvents, target.CacheEvent{Sequence: e.eventSequence, Stored: hexHashes(stored), Evicted: hexHashes(evicted)})
		e.cacheEvents = e.cacheEvents[max(0, len(e.cacheEvents)-maxCacheEvents):]
	}
	load := target.Load{
		Waiting: e.model.BacklogTokens(), Running: e.model.Running(), Slots: e.cfg.Rates.MaxBatch,
		Prefill: ident.TokensPerSecond(float64(e.cfg.Rates.PrefillRate) * e.cfg.Speed),
		Decode:  ident.TokensPerSecond(float64(e.cfg.Rates.DecodeRate()) * e.cfg.Speed), Measured: time.Now().UnixMilli(),
	}
	report := &target.EngineReport{
		Role: e.state.Role, Model: e.state.Model, Version: e.state.Version, Order: e.state.LastOrder, Busy: e.state.CurrentOrder != "",
	}
	return load, report, append([]target.CacheEvent(nil), e.cacheEvents...)
}

// hexHashes formats block hashes for a cache event.
func hexHashes(hashes []uint64) []string {
	out := make([]string, len(hashes))
	for i, h := range hashes {
		out[i] = fmt.Sprintf("%016x", h)
	}
	return out
}

// runSteps steps the model in scaled time and delivers the output to the streams.
func (e *Engine) runSteps(ctx context.Context) {
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
				c <- o // never blocks: the buffer holds the whole answer
			}
		}
		e.mu.Unlock()
	}
}

// chatRequest is the part of a chat request that the fake engine interprets.
type chatRequest struct {
	Model         string           `json:"model"`
	Messages      []engine.Message `json:"messages"`
	MaxTokens     int              `json:"max_tokens"`
	Stream        bool             `json:"stream"`
	Priority      int              `json:"priority"`
	ContinueFinal bool             `json:"continue_final_message"`
	Offset        int              `json:"offset"`
	Transfer      *struct {
		RemoteDecode bool             `json:"do_remote_decode"`
		Handover     *engine.KVHandle `json:"handover"`
	} `json:"kv_transfer_params"`
}

// prompt returns the prompt without the partial answer that the engine is to continue.
func (c chatRequest) prompt() string {
	messages := c.Messages
	if c.ContinueFinal {
		messages = messages[:len(messages)-1]
	}
	return string((&engine.Request{Messages: messages}).Prompt())
}

// handleChat serves a chat request, or only its prefill if the decode runs elsewhere.
func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request) {
	var c chatRequest
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil || len(c.Messages) == 0 {
		http.Error(w, "body is not a chat request with messages", http.StatusBadRequest)
		return
	}
	id := r.Header.Get(engine.HeaderRequestID)
	prompt := c.prompt()
	work := Work{
		ID: id, PromptTokens: router.TokensIn(len(prompt)) + ident.Tokens(c.Offset), Priority: c.Priority,
		Blocks: router.BlockHashes(nil, []byte(prompt)), AnswerTokens: c.MaxTokens,
	}
	if c.Transfer != nil {
		work.PrefillOnly = c.Transfer.RemoteDecode
		if h := c.Transfer.Handover; h != nil {
			if err := fetchKV(r.Context(), *h); err != nil {
				http.Error(w, err.Error(), http.StatusFailedDependency)
				return
			}
			work.Imported = true
		}
	}
	out, f, status := e.startWork(work)
	if status != 0 {
		http.Error(w, "request refused", status)
		return
	}
	defer e.cancelWork(id)
	if work.PrefillOnly {
		e.awaitExport(w, r, work, out)
		return
	}
	e.writeStream(w, r, answerStream{request: c, id: id, prompt: prompt, out: out, fault: f})
}

// fetchKV takes over a KV cache that another engine exports.
func fetchKV(ctx context.Context, h engine.KVHandle) error {
	return post(ctx, h.Address, "/v1/kv/"+h.ID, nil, http.StatusOK)
}

// startWork queues a request in the model and returns the channel of its output and the
// fault to inject. A status other than 0 refuses the request: the engine is carrying out
// an order, or a fault is injected.
func (e *Engine) startWork(w Work) (chan Output, Fault, int) {
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
	c := make(chan Output, w.AnswerTokens+1)
	e.served++
	e.streams[w.ID] = c
	e.model.Add(w)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return c, f, 0
}

// cancelWork removes a request from the model if it is still there.
func (e *Engine) cancelWork(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.streams[id]; ok {
		delete(e.streams, id)
		e.model.Cancel(id)
	}
}

// awaitExport waits until the prompt is processed and replies with a handle of its KV
// cache.
func (e *Engine) awaitExport(w http.ResponseWriter, r *http.Request, work Work, out chan Output) {
	select {
	case <-r.Context().Done():
		return
	case _, ok := <-out:
		if !ok {
			return // aborted by an order
		}
	}
	e.mu.Lock()
	e.exportedKV[work.ID] = work.PromptTokens
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{
		"id": work.ID, "object": "chat.completion", "choices": []any{},
		"kv_transfer_params": map[string]any{"handover": engine.KVHandle{Address: e.Addr(), ID: work.ID, Tokens: work.PromptTokens}},
	})
}

// handleKVFetch hands an exported KV cache over to another engine, once.
func (e *Engine) handleKVFetch(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	e.mu.Lock()
	n, ok := e.exportedKV[id]
	delete(e.exportedKV, id)
	e.mu.Unlock()
	if !ok {
		http.Error(w, "no such KV cache", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, map[string]ident.Tokens{"tokens": n})
}

// answerStream is a streamed answer in progress.
type answerStream struct {
	request chatRequest
	id      string
	prompt  string
	out     chan Output
	fault   Fault
}

// writeStream streams an answer and resets the connection if an order aborts the request.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, s answerStream) {
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
			panic(http.ErrAbortHandler) // resets the connection
		}
		s.writeChunk(w, o)
		flush.Flush()
		if o.Done {
			break
		}
	}
	if s.fault.NoEnd {
		return
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n") // fails only if the client has disconnected
}

// writeChunk writes one token as a server-sent event.
func (s answerStream) writeChunk(w io.Writer, o Output) {
	at := s.request.Offset + o.Token
	chunk := engine.Chunk{
		ID: s.id, Object: "chat.completion.chunk", Model: s.request.Model, Offset: &at,
		Choices: []engine.Choice{{Delta: engine.Delta{Content: AnswerToken(s.prompt, at)}}},
	}
	if o.Done && !s.fault.NoEnd {
		finish := "length"
		chunk.Choices[0].Finish = &finish
	}
	if s.fault.Cross && o.Token == 1 {
		chunk.ID = "another"
	}
	data, _ := json.Marshal(chunk) // can't fail for this type
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
	if s.fault.Duplicate && !o.Done {
		_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
	}
}

func (e *Engine) handleFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFault(f)
}

func (e *Engine) handleState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.State())
}

// handleOrder carries out an order at once, as real engines do, and aborts the running
// requests. It accepts a repeated order without carrying it out again, and refuses an order
// with a stale fencing token if fencing is enabled.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
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
		http.Error(w, "stale fencing token", http.StatusConflict)
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
	time.AfterFunc(time.Duration(float64(e.cfg.Rates.RoleChangeTime)/e.cfg.Speed), func() { e.completeOrder(o) })
	w.WriteHeader(http.StatusAccepted)
}

// completeOrder applies the state that an order requests, unless a later order replaced it.
func (e *Engine) completeOrder(o engine.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state.CurrentOrder != o.ID {
		return
	}
	e.state.CurrentOrder = ""
	e.state.LastOrder = o.ID
	if o.Spec.Role != "" {
		e.state.Role = o.Spec.Role
		e.model.SetRole(o.Spec.Role)
	}
	if o.Spec.Model != "" {
		e.state.Model = o.Spec.Model
	}
	if o.Spec.Version != "" {
		e.state.Version = o.Spec.Version
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}
