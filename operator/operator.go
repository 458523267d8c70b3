// Package operator implements the HTTP API for operators: the desired-state document, status,
// targets, receipts and membership changes.
//
// Applying a document has two stages. "Accepted" means that the document is committed and will
// never be lost or reverted. "In force" means that no instance takes requests under an older one. A
// client that has not received the response may send the same document again, even if a later one
// has been applied since.
package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/caller"
	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/cluster/permit"
	"github.com/hickoryridge/hickoryridge/internal/cluster/quarantine"
	"github.com/hickoryridge/hickoryridge/internal/reply"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/router"
	"github.com/hickoryridge/hickoryridge/state"
	"github.com/hickoryridge/hickoryridge/target"
)

const (
	// InForceTimeout bounds the wait for a document to be in force on every instance.
	InForceTimeout  = 3 * time.Second
	inForceInterval = 25 * time.Millisecond
	applyTimeout    = 5 * time.Second
	readTimeout     = 3 * time.Second
	memberTimeout   = 40 * time.Second
)

// Leader sends requests to the leader of the quorum.
type Leader interface {
	Proposer
	InForce(ctx context.Context, v state.Version) (bool, []ident.InstanceID, error)
	View(ctx context.Context) (state.View, error)
	Lookup(ctx context.Context, id state.ReceiptID) (state.Receipt, bool, error)
	Member(ctx context.Context, m peer.Member) error
	Report(ctx context.Context) ([]byte, error)
}

// Config holds the dependencies of a Server.
type Config struct {
	Leader  Leader
	Targets func() []target.Record
	Limits  func() []permit.Limit // rate limits that targets have named
	Speeds  func() []router.TargetSpeed
	Parts   Parts // parts of prompts and requests in quarantine; nil if there are none
	Local   func() LocalStatus
	Log     *logrus.Entry
}

// Parts gives access to the parts of prompts and the requests in quarantine.
type Parts interface {
	Quarantined(now clock.Time) []quarantine.Suspect
	// Release ends the quarantine of a part at every instance.
	Release(now clock.Time, service ident.ServiceID, part string)
}

// LocalStatus is the part of an instance's status that needs no request to the leader.
type LocalStatus struct {
	Instance     ident.InstanceID     `json:"instance"`
	Voter        bool                 `json:"voter"`
	Role         string               `json:"role,omitempty"`
	Term         uint64               `json:"term,omitempty"`
	Leader       ident.InstanceID     `json:"leader,omitempty"`
	DiskRejected bool                 `json:"diskrejected,omitempty"`
	Number       ident.DocumentNumber `json:"number"`
	Version      state.Version        `json:"version"`
	Running      int                  `json:"running"`
	Waiting      int                  `json:"waiting"`
	Pending      int                  `json:"pending"` // receipts waiting to be closed
	// Closed is the reason why the instance takes no requests; empty if it takes them.
	Closed string `json:"closed,omitempty"`
}

// Server serves the operators' API. It is safe for concurrent use.
type Server struct {
	cfg Config
}

// New returns a server.
func New(cfg Config) *Server { return &Server{cfg: cfg} }

// Mount registers the operators' endpoints on r.
func (s *Server) Mount(r chi.Router) {
	r.Put("/v1/desired", s.apply)
	r.Get("/v1/desired", s.getDocument)
	r.Post("/v1/check", s.check)
	r.Get("/v1/status", s.status)
	r.Get("/v1/targets", s.targets)
	r.Get("/v1/parts", s.parts)
	r.Delete("/v1/parts/{service}/{part}", s.releasePart)
	r.Get("/v1/receipts/{tenant}/{service}/{key}", s.receipt)
	r.Post("/v1/members", s.changeMember)
}

// Applied is the response to an accepted document.
type Applied struct {
	Number   ident.DocumentNumber `json:"number"`
	Digest   ident.Digest         `json:"digest"`
	Current  ident.DocumentNumber `json:"current"` // number of the newest document
	Accepted bool                 `json:"accepted"`
	InForce  bool                 `json:"inforce"`
	// Waiting lists the instances that may still serve under an older document.
	Waiting []ident.InstanceID `json:"waiting,omitempty"`
}

func (s *Server) parseDocument(w http.ResponseWriter, r *http.Request) (*desired.Document, bool) {
	body, err := reply.ReadBody(w, r, desired.MaxBytes)
	if err != nil {
		reply.Error(w, err)
		return nil, false
	}
	doc, faults := desired.Parse(body)
	if len(faults) > 0 {
		reply.Faults(w, fault.DocumentInvalid, faults)
		return nil, false
	}
	return doc, true
}

func (s *Server) check(w http.ResponseWriter, r *http.Request) {
	if doc, ok := s.parseDocument(w, r); ok {
		reply.JSON(w, http.StatusOK, map[string]any{"valid": true, "number": doc.Number})
	}
}

func (s *Server) apply(w http.ResponseWriter, r *http.Request) {
	doc, ok := s.parseDocument(w, r)
	if !ok {
		return
	}
	applied, err := s.Apply(r.Context(), doc)
	if err != nil {
		reply.Error(w, err)
		return
	}
	status := http.StatusOK
	if !applied.InForce {
		status = http.StatusAccepted
	}
	reply.JSON(w, status, applied)
}

// Proposer commits commands.
type Proposer interface {
	Propose(ctx context.Context, c state.Command) (state.Result, error)
}

// Propose commits a valid document. With jump, its number may be any number above the current one;
// see state.ApplyDocument.
func Propose(ctx context.Context, p Proposer, doc *desired.Document, jump bool) (*state.AppliedDocument, error) {
	data, digest, err := doc.Pack()
	if err != nil {
		return nil, err
	}
	result, err := p.Propose(ctx, state.Command{Apply: &state.ApplyDocument{
		Number: doc.Number, Digest: digest, Data: data, AllowGaps: jump,
	}})
	if err != nil {
		return nil, err
	}
	return result.Applied, result.Err()
}

// Apply commits a valid document and waits up to InForceTimeout until it is in force. Without an
// error, the document is committed; Applied.InForce reports whether it is in force.
func (s *Server) Apply(ctx context.Context, doc *desired.Document) (*Applied, error) {
	try, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	a, err := Propose(try, s.cfg.Leader, doc, false)
	if err != nil {
		return nil, err
	}
	applied := &Applied{Number: a.Number, Digest: a.Digest, Current: a.Current, Accepted: true}
	applied.InForce, applied.Waiting = s.awaitInForce(ctx, a.Version)
	s.cfg.Log.WithFields(logrus.Fields{
		"event": "document_applied", "number": a.Number, "digest": a.Digest, "inforce": applied.InForce,
	}).Info("document applied")
	return applied, nil
}

func (s *Server) awaitInForce(ctx context.Context, v state.Version) (bool, []ident.InstanceID) {
	ctx, cancel := context.WithTimeout(ctx, InForceTimeout)
	defer cancel()
	var waiting []ident.InstanceID
	for {
		ok, others, err := s.cfg.Leader.InForce(ctx, v)
		if err == nil && ok {
			return true, nil
		}
		if err == nil {
			waiting = others
		}
		select {
		case <-ctx.Done():
			return false, waiting
		case <-time.After(inForceInterval):
		}
	}
}

func (s *Server) getDocument(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), readTimeout)
	defer cancel()
	view, err := s.cfg.Leader.View(ctx)
	if err != nil {
		reply.Error(w, err)
		return
	}
	if view.Number == 0 {
		reply.Error(w, fault.New(fault.NotFound, "no document has been applied yet"))
		return
	}
	w.Header().Set("ETag", `"`+string(view.Digest)+`"`)
	data, err := desired.Unpack(view.Document)
	if err != nil {
		reply.Error(w, err)
		return
	}
	reply.JSON(w, http.StatusOK, json.RawMessage(data))
}

// Status is the response to a status request.
type Status struct {
	Local  LocalStatus     `json:"local"`
	Quorum json.RawMessage `json:"quorum,omitempty"` // the leader's report
	Error  string          `json:"error,omitempty"`  // reason why there is no report
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), readTimeout)
	defer cancel()
	st := Status{Local: s.cfg.Local()}
	report, err := s.cfg.Leader.Report(ctx)
	if err != nil {
		st.Error = err.Error()
	} else {
		st.Quorum = report
	}
	reply.JSON(w, http.StatusOK, st)
}

// Target is one entry in the list of targets.
type Target struct {
	target.Announcement
	Usable bool `json:"usable"`
	// RateLimit is the rate limit that the target named, in requests per second from all instances
	// together; nil if the instance has a record of none.
	RateLimit *ident.RequestsPerSecond `json:"ratelimit,omitempty"`
	// Speed is what this instance has learned of the target's speed; nil if nothing.
	Speed *router.TargetSpeed `json:"speed,omitempty"`
}

func (s *Server) targets(w http.ResponseWriter, _ *http.Request) {
	now := clock.Now()
	limits := map[ident.TargetID]*ident.RequestsPerSecond{}
	for _, l := range s.cfg.Limits() {
		limits[l.Target] = &l.Rate
	}
	speeds := map[ident.TargetID]*router.TargetSpeed{}
	for _, speed := range s.cfg.Speeds() {
		speeds[speed.Target] = &speed
	}
	list := []Target{}
	for _, r := range s.cfg.Targets() {
		r.Cache = nil
		list = append(list, Target{Announcement: r.Announcement, Usable: r.Usable(now), RateLimit: limits[r.Target], Speed: speeds[r.Target]})
	}
	reply.JSON(w, http.StatusOK, list)
}

func (s *Server) parts(w http.ResponseWriter, _ *http.Request) {
	list := []quarantine.Suspect{}
	if s.cfg.Parts != nil {
		list = append(list, s.cfg.Parts.Quarantined(clock.Now())...)
	}
	reply.JSON(w, http.StatusOK, list)
}

func (s *Server) releasePart(w http.ResponseWriter, r *http.Request) {
	service, part := ident.ServiceID(reply.PathParam(r, "service")), reply.PathParam(r, "part")
	now := clock.Now()
	known := s.cfg.Parts != nil && slices.ContainsFunc(s.cfg.Parts.Quarantined(now), func(q quarantine.Suspect) bool {
		return q.Part.Service == service && q.Part.ID == part
	})
	if !known {
		reply.Error(w, fault.New(fault.NotFound, "part %q of service %q is not in quarantine", part, service))
		return
	}
	s.cfg.Parts.Release(now, service, part)
	s.cfg.Log.WithFields(logrus.Fields{"event": "part_release_asked", "service": service, "part": part}).Info("an operator ends the quarantine of a part")
	reply.JSON(w, http.StatusOK, map[string]bool{"done": true})
}

func (s *Server) receipt(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), readTimeout)
	defer cancel()
	found, ok, err := s.cfg.Leader.Lookup(ctx, state.ReceiptID{
		Tenant: ident.TenantID(reply.PathParam(r, "tenant")), Service: ident.ServiceID(reply.PathParam(r, "service")),
		Key: ident.IdempotencyKey(reply.PathParam(r, "key")),
	})
	if err == nil && !ok {
		err = fault.New(fault.NotFound, "no receipt exists for this tenant, service and key")
	}
	if err != nil {
		reply.Error(w, err)
		return
	}
	reply.JSON(w, http.StatusOK, caller.ReceiptOf(found))
}

// MemberChange is the body of a request to change the membership of the quorum.
type MemberChange struct {
	Instance ident.InstanceID  `json:"instance"`
	Change   peer.MemberChange `json:"change"`
}

func (s *Server) changeMember(w http.ResponseWriter, r *http.Request) {
	var m MemberChange
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<10))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&m); err != nil {
		reply.Error(w, fault.New(fault.BadRequest, "request body: %v", err))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), memberTimeout)
	defer cancel()
	if err := s.cfg.Leader.Member(ctx, peer.Member{Instance: m.Instance, Change: m.Change}); err != nil {
		reply.Error(w, err)
		return
	}
	s.cfg.Log.WithFields(logrus.Fields{"event": "member_changed", "member": m.Instance, "change": m.Change}).Info("quorum membership changed")
	reply.JSON(w, http.StatusOK, map[string]bool{"done": true})
}
