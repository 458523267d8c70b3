package caller

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/hickoryridge/hickoryridge/dispatch"
	"github.com/hickoryridge/hickoryridge/engine"
	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/reply"
	"github.com/hickoryridge/hickoryridge/router"
)

func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	chat, err := s.parseChat(w, r)
	if err != nil {
		writeRefusal(w, err)
		return
	}
	id := "chatcmpl-" + ident.NewRandom()
	if chat.Request.Stream {
		s.stream(w, r, id, chat)
		return
	}
	answer, err := s.cfg.Dispatcher.Chat(r.Context(), *chat, func(string) error { return nil })
	if err != nil {
		writeRefusal(w, err)
		return
	}
	reply.JSON(w, http.StatusOK, completion(id, chat, answer))
}

// parseChat reads a request and determines its tenant, route and class.
func (s *Server) parseChat(w http.ResponseWriter, r *http.Request) (*dispatch.ChatRequest, error) {
	a, err := s.admit(r)
	if err != nil {
		return nil, err
	}
	body, err := reply.ReadBody(w, r, int64(s.limits(a.config).Body))
	if err != nil {
		return nil, err
	}
	req, err := engine.ParseRequest(body)
	if err != nil {
		return nil, err
	}
	prompt := req.Prompt()
	c, err := requestClass(a.config, r, router.TokensIn(len(prompt)))
	if err != nil {
		return nil, err
	}
	route, ok := a.config.Document.Route(req.Model, a.tenant.Name, c.Name)
	if !ok || !a.tenant.Allows(route.Service) {
		return nil, fault.New(fault.NotFound, "model %q does not exist or is not available to this tenant", req.Model)
	}
	service, _ := a.config.Document.Service(route.Service) // document validation ensures it exists
	return &dispatch.ChatRequest{
		Info:    dispatch.RequestInfo{Tenant: a.tenant, Class: c, Config: a.config, Caller: a.caller, Returning: isTimelyRetry(r, time.Now())},
		Service: service, Adapter: route.Adapter, Request: req, Prompt: prompt,
	}, nil
}

func completion(id string, chat *dispatch.ChatRequest, a *engine.Answer) engine.Completion {
	return engine.Completion{
		ID: id, Object: "chat.completion", Model: chat.Request.Model,
		Choices: []engine.CompletionChoice{{
			Message: engine.Message{Role: "assistant", Content: a.Text()}, Finish: a.FinishReason(),
		}},
		Usage: engine.Usage{Prompt: router.TokensIn(len(chat.Prompt)), Completion: ident.Tokens(a.Tokens())},
	}
}

// eventWriter writes server-sent events. It sends the status with the first event, so that a
// refusal before that is a plain JSON response.
type eventWriter struct {
	w          http.ResponseWriter
	flush      http.Flusher
	id         string
	model      string
	headerSent bool
}

func (e *eventWriter) sendHeader() {
	if e.headerSent {
		return
	}
	e.headerSent = true
	e.w.Header().Set("Content-Type", "text/event-stream")
	e.w.Header().Set("Cache-Control", "no-cache")
	e.w.WriteHeader(http.StatusOK)
}

func (e *eventWriter) write(v any) error {
	e.sendHeader()
	data, err := json.Marshal(v)
	if err != nil {
		return fault.Wrap(fault.Internal, err)
	}
	return e.writeData(string(data))
}

func (e *eventWriter) writeData(data string) error {
	if _, err := e.w.Write([]byte("data: " + data + "\n\n")); err != nil {
		return err
	}
	e.flush.Flush()
	return nil
}

func (e *eventWriter) chunk(d engine.Delta, finish *string) engine.Chunk {
	return engine.Chunk{
		ID: e.id, Object: "chat.completion.chunk", Model: e.model,
		Choices: []engine.Choice{{Delta: d, Finish: finish}},
	}
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, id string, chat *dispatch.ChatRequest) {
	flush, ok := w.(http.Flusher)
	if !ok {
		reply.Error(w, fault.New(fault.Internal, "connection does not support streaming"))
		return
	}
	e := &eventWriter{w: w, flush: flush, id: id, model: chat.Request.Model}
	answer, err := s.cfg.Dispatcher.Chat(r.Context(), *chat, func(text string) error {
		return e.write(e.chunk(engine.Delta{Content: text}, nil))
	})
	if err != nil {
		s.abortStream(e, err)
		return
	}
	finish := answer.FinishReason()
	if e.write(e.chunk(engine.Delta{}, &finish)) == nil {
		_ = e.writeData("[DONE]") // a disconnected caller needs no reply
	}
}

// abortStream ends an answer that cannot be completed. If it has begun, its connection is closed in the middle of
// it: nothing but its events may be in it, and its end must not look complete.
func (s *Server) abortStream(e *eventWriter, err error) {
	if e.headerSent {
		panic(http.ErrAbortHandler)
	}
	writeRefusal(e.w, err)
}
