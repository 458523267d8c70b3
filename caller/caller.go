// Package caller is the HTTP interface for callers. It serves chat completions of model services,
// and forwards each plain service under a path of its own. Every refusal is a JSON error from the
// table of package fault and says whether the request ran.
//
// A caller identifies its tenant by an API key (Authorization: Bearer or X-Api-Key) or, for tenants
// without keys, by X-Tenant. X-Class selects the class; without it, the length of the prompt does.
package caller

import (
	"context"
	"net/http"
	"strings"

	"github.com/go-chi/chi/v5"
	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/dispatch"
	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/reply"
	"github.com/hickoryridge/hickoryridge/state"
)

// Headers that identify the tenant and the class of a request.
const (
	HeaderTenant = "X-Tenant"
	HeaderAPIKey = "X-Api-Key"
	HeaderClass  = "X-Class"
	// HeaderReplayed marks the stored answer of an earlier attempt under the same key.
	HeaderReplayed = "Idempotency-Replayed"
)

// ReceiptStore looks up receipts. A lookup sees every commit that completed before it.
type ReceiptStore interface {
	Lookup(ctx context.Context, id state.ReceiptID) (state.Receipt, bool, error)
}

// Config configures a Server.
type Config struct {
	Gate       *dispatch.Gate
	Dispatcher *dispatch.Dispatcher
	Receipts   ReceiptStore
	Limits     desired.RequestLimits // used where the document sets none
	Log        *logrus.Entry
}

// Server handles the requests of callers. It is safe for concurrent use.
type Server struct {
	cfg Config
}

// New returns a server.
func New(cfg Config) *Server { return &Server{cfg: cfg} }

// Mount adds the handlers for callers to r.
func (s *Server) Mount(r chi.Router) {
	r.Post("/v1/chat/completions", s.chat)
	r.Get("/v1/models", s.models)
	r.Get("/v1/receipts/{service}/{key}", s.receipt)
	r.HandleFunc("/services/{service}/*", s.plain)
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		reply.Error(w, fault.New(fault.NotFound, "path %s does not exist", r.URL.Path))
	})
}

// apiKeyOf returns the API key of a request; empty if it has none.
func apiKeyOf(r *http.Request) string {
	if bearer, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer "); ok {
		return bearer
	}
	return r.Header.Get(HeaderAPIKey)
}

// requestClass returns the class of a request, by X-Class or else by the length of its prompt.
func requestClass(cfg *dispatch.ActiveConfig, r *http.Request, promptTokens ident.Tokens) (*desired.Class, error) {
	name := ident.ClassID(r.Header.Get(HeaderClass))
	if name == "" {
		return cfg.Document.ClassFor(promptTokens), nil
	}
	if found, ok := cfg.Document.Class(name); ok {
		return found, nil
	}
	return nil, fault.New(fault.BadRequest, "class %q does not exist", name)
}

// admission is the configuration in force for a request, and whom the request is for.
type admission struct {
	config *dispatch.ActiveConfig
	tenant *desired.Tenant
	caller dispatch.Caller
}

// admit checks the gate, the size of the headers and the API key. It returns fault.Unauthorized if the key is unknown,
// or if there is none and the tenant requires one.
func (s *Server) admit(r *http.Request) (admission, error) {
	current, err := s.cfg.Gate.Admit(clock.Now())
	if err != nil {
		return admission{}, err
	}
	if err := reply.CheckHeader(r, int64(s.limits(current).Header)); err != nil {
		return admission{}, err
	}
	var a admission
	a.config, a.tenant, a.caller, err = s.cfg.Dispatcher.AdmitTenant(r.Context(), apiKeyOf(r), ident.TenantID(r.Header.Get(HeaderTenant)))
	return a, err
}

// limits returns the size limits of a request.
func (s *Server) limits(cfg *dispatch.ActiveConfig) desired.RequestLimits {
	return cfg.Document.Limits.WithDefaults(s.cfg.Limits)
}

func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	a, err := s.admit(r)
	if err != nil {
		reply.Error(w, err)
		return
	}
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list"}
	for _, route := range a.config.Document.Routes {
		if (route.Tenant == "" || route.Tenant == a.tenant.Name) && a.tenant.Allows(route.Service) {
			list.Data = append(list.Data, model{ID: route.Model, Object: "model"})
		}
	}
	reply.JSON(w, http.StatusOK, list)
}

// Receipt is the part of a request's receipt that its caller may see.
type Receipt struct {
	State   state.ReceiptState `json:"state"`
	Ran     fault.Ran          `json:"ran"`
	Status  int                `json:"status,omitempty"` // of the stored answer
	Body    string             `json:"body,omitempty"`
	Attempt ident.AttemptID    `json:"attempt"`
}

func (s *Server) receipt(w http.ResponseWriter, r *http.Request) {
	a, err := s.admit(r)
	if err != nil {
		reply.Error(w, err)
		return
	}
	found, ok, err := s.cfg.Receipts.Lookup(r.Context(), state.ReceiptID{
		Tenant: a.tenant.Name, Service: ident.ServiceID(reply.PathParam(r, "service")), Key: ident.IdempotencyKey(reply.PathParam(r, "key")),
	})
	if err != nil {
		reply.Error(w, err)
		return
	}
	if !ok {
		reply.Error(w, fault.New(fault.NotFound, "there is no receipt for this idempotency key"))
		return
	}
	reply.JSON(w, http.StatusOK, ReceiptOf(found))
}

// ReceiptOf returns the public form of a receipt.
func ReceiptOf(r state.Receipt) Receipt {
	out := Receipt{State: r.State, Ran: fault.RanUnknown, Attempt: r.Attempt}
	switch r.State {
	case state.ReceiptDone:
		out.Ran = fault.RanYes
	case state.ReceiptReleased:
		out.Ran = fault.RanNo
	case state.ReceiptOpen, state.ReceiptUnknown:
	}
	if r.Response != nil {
		out.Status = r.Response.Status
		out.Body = string(r.Response.Body)
	}
	return out
}
