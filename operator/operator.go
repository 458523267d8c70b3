// Package operator serves operators over HTTP: the desired-state document, the
// report of the quorum, receipts and changes of voters.
//
// Applying a document has two answers. "Accepted" says that the document is
// committed and will never be lost or reverted. "In force" says that no instance
// takes calls by an older one. The same document may be sent again after a lost
// answer, also when a later one has come since.
package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/caller"
	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/reply"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/state"
	"github.com/hickoryridge/hickoryridge/target"
)

const (
	// InForceTimeout is the longest wait for a document to be in force everywhere.
	InForceTimeout = 3 * time.Second
	forceEvery     = 25 * time.Millisecond
	applyTime      = 5 * time.Second
	readTime       = 3 * time.Second
	memberTime     = 40 * time.Second
)

// Leader answers what only the leader of the quorum knows.
type Leader interface {
	Proposer
	InForce(ctx context.Context, v state.Version) (bool, []ident.InstanceID, error)
	View(ctx context.Context) (state.View, error)
	Lookup(ctx context.Context, id state.ReceiptID) (state.Receipt, bool, error)
	Member(ctx context.Context, m peer.Member) error
	Report(ctx context.Context) ([]byte, error)
}

// Config is what a Server is started with.
type Config struct {
	Leader  Leader
	Targets func() []target.Record
	Local   func() LocalStatus
	Log     *logrus.Entry
}

// LocalStatus is what an instance knows of itself.
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
	Pending      int                  `json:"pending"`          // receipts that wait to be closed
	Closed       string               `json:"closed,omitempty"` // why no request is taken
}

// Server serves operators.
type Server struct {
	cfg Config
}

// New returns a server.
func New(cfg Config) *Server { return &Server{cfg: cfg} }

// Mount adds the operators' paths to r.
func (s *Server) Mount(r chi.Router) {
	r.Put("/v1/desired", s.apply)
	r.Get("/v1/desired", s.show)
	r.Post("/v1/check", s.check)
	r.Get("/v1/status", s.status)
	r.Get("/v1/targets", s.targets)
	r.Get("/v1/receipts/{tenant}/{service}/{key}", s.receipt)
	r.Post("/v1/members", s.member)
}

// Applied is the answer to an accepted document.
type Applied struct {
	Number   ident.DocumentNumber `json:"number"`
	Digest   ident.Digest         `json:"digest"`
	Current  ident.DocumentNumber `json:"current"` // number of the newest document
	Accepted bool                 `json:"accepted"`
	InForce  bool                 `json:"inforce"`
	Waiting  []ident.InstanceID   `json:"waiting,omitempty"` // instances that still serve by an older one
}

func (s *Server) parse(w http.ResponseWriter, r *http.Request) (*desired.Document, bool) {
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
	if doc, ok := s.parse(w, r); ok {
		reply.JSON(w, http.StatusOK, map[string]any{"valid": true, "number": doc.Number})
	}
}

func (s *Server) apply(w http.ResponseWriter, r *http.Request) {
	doc, ok := s.parse(w, r)
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

// Propose commits a valid document. Jump lets its number be any above the present one; see
// state.ApplyDocument.
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

// Apply commits a valid document and waits, within ForceTime, until it is in force.
func (s *Server) Apply(ctx context.Context, doc *desired.Document) (*Applied, error) {
	try, cancel := context.WithTimeout(ctx, applyTime)
	defer cancel()
	a, err := Propose(try, s.cfg.Leader, doc, false)
	if err != nil {
		return nil, err
	}
	applied := &Applied{Number: a.Number, Digest: a.Digest, Current: a.Current, Accepted: true}
	applied.InForce, applied.Waiting = s.awaitForce(ctx, a.Version)
	s.cfg.Log.WithFields(logrus.Fields{
		"event": "document_applied", "number": a.Number, "digest": a.Digest, "inforce": applied.InForce,
	}).Info("document applied")
	return applied, nil
}

func (s *Server) awaitForce(ctx context.Context, v state.Version) (bool, []ident.InstanceID) {
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
		case <-time.After(forceEvery):
		}
	}
}

func (s *Server) show(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), readTime)
	defer cancel()
	view, err := s.cfg.Leader.View(ctx)
	if err != nil {
		reply.Error(w, err)
		return
	}
	if view.Number == 0 {
		reply.Error(w, fault.New(fault.NotFound, "no document was applied yet"))
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

// Status is the answer to a question for the status.
type Status struct {
	Local  LocalStatus     `json:"local"`
	Quorum json.RawMessage `json:"quorum,omitempty"` // the leader's report
	Error  string          `json:"error,omitempty"`  // why there is none
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), readTime)
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

// Target is one target in a listing.
type Target struct {
	target.Announcement
	Usable bool `json:"usable"`
}

func (s *Server) targets(w http.ResponseWriter, _ *http.Request) {
	now := clock.Now()
	list := []Target{}
	for _, r := range s.cfg.Targets() {
		r.Cache = nil
		list = append(list, Target{Announcement: r.Announcement, Usable: r.Usable(now)})
	}
	reply.JSON(w, http.StatusOK, list)
}

func (s *Server) receipt(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), readTime)
	defer cancel()
	found, ok, err := s.cfg.Leader.Lookup(ctx, state.ReceiptID{
		Tenant: ident.TenantID(reply.PathParam(r, "tenant")), Service: ident.ServiceID(reply.PathParam(r, "service")),
		Key: ident.IdempotencyKey(reply.PathParam(r, "key")),
	})
	if err == nil && !ok {
		err = fault.New(fault.NotFound, "no receipt is kept under this key")
	}
	if err != nil {
		reply.Error(w, err)
		return
	}
	reply.JSON(w, http.StatusOK, caller.ReceiptOf(found))
}

// MemberChange is an operator's change of the voters.
type MemberChange struct {
	Instance ident.InstanceID  `json:"instance"`
	Change   peer.MemberChange `json:"change"`
}

func (s *Server) member(w http.ResponseWriter, r *http.Request) {
	var m MemberChange
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<10))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&m); err != nil {
		reply.Error(w, fault.New(fault.BadRequest, "body: %v", err))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), memberTime)
	defer cancel()
	if err := s.cfg.Leader.Member(ctx, peer.Member{Instance: m.Instance, Change: m.Change}); err != nil {
		reply.Error(w, err)
		return
	}
	s.cfg.Log.WithFields(logrus.Fields{"event": "member_changed", "member": m.Instance, "change": m.Change}).Info("member changed")
	reply.JSON(w, http.StatusOK, map[string]bool{"done": true})
}
