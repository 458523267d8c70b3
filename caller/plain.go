package caller

import (
	"net/http"
	"net/url"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/dispatch"
	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/reply"
	"github.com/hickoryridge/hickoryridge/plain"
)

// privateHeaders carry the caller's credentials and options for this system, and are not forwarded.
var privateHeaders = []string{"Authorization", HeaderAPIKey, HeaderTenant, HeaderClass, HeaderTicket}

func (s *Server) plain(w http.ResponseWriter, r *http.Request) {
	p, err := s.parsePlain(w, r)
	if err != nil {
		reply.Error(w, err)
		return
	}
	answer, err := s.cfg.Dispatcher.Plain(r.Context(), *p)
	if err != nil {
		writePlainRefusal(w, p, err)
		return
	}
	for name, values := range answer.Header {
		w.Header()[name] = values
	}
	if answer.Replayed {
		w.Header().Set(HeaderReplayed, "true")
	}
	if answer.Truncated {
		w.Header().Set("Idempotency-Replay-Cut", "true")
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body) // a disconnected caller needs no reply
}

func (s *Server) parsePlain(w http.ResponseWriter, r *http.Request) (*dispatch.PlainRequest, error) {
	a, err := s.admit(r)
	if err != nil {
		return nil, err
	}
	service, ok := a.config.Document.Service(ident.ServiceID(chi.URLParam(r, "service")))
	if !ok || service.Kind != desired.KindPlain || !a.tenant.Allows(service.Name) {
		return nil, fault.New(fault.NotFound, "plain service %q does not exist or is not available to this tenant", chi.URLParam(r, "service"))
	}
	c, err := requestClass(a.config, r, 0)
	if err != nil {
		return nil, err
	}
	body, err := reply.ReadBody(w, r, int64(s.limits(a.config).Body))
	if err != nil {
		return nil, err
	}
	header := r.Header.Clone()
	for _, name := range privateHeaders {
		header.Del(name)
	}
	// The authenticated tenant replaces the credentials.
	header.Set(HeaderTenant, string(a.tenant.Name))
	path := "/" + chi.URLParam(r, "*")
	return &dispatch.PlainRequest{
		Info:    dispatch.RequestInfo{Tenant: a.tenant, Class: c, Config: a.config, Caller: a.caller, Returning: isTimelyRetry(r, time.Now())},
		Service: service, MatchPath: path,
		Request: plain.Request{Method: r.Method, Path: withQuery(path, r.URL), Header: header, Body: body},
	}, nil
}

func withQuery(path string, u *url.URL) string {
	escaped := (&url.URL{Path: path}).EscapedPath()
	if u.RawQuery == "" {
		return escaped
	}
	return escaped + "?" + u.RawQuery
}

// writePlainRefusal writes a refusal. If the outcome is unknown, it includes the path at which the
// caller can look it up.
func writePlainRefusal(w http.ResponseWriter, p *dispatch.PlainRequest, err error) {
	f := reply.FailureOf(err)
	key := p.Request.Header.Get(dispatch.HeaderIdempotencyKey)
	if key != "" && f.Error.Ran == fault.RanUnknown {
		f.Error.Lookup = "/v1/receipts/" + url.PathEscape(string(p.Service.Name)) + "/" + url.PathEscape(key)
	}
	setTicket(w, err, time.Now())
	reply.WriteFailure(w, err, f)
}
