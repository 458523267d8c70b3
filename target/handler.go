package target

import (
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/internal/reply"
)

// AnnounceHandler accepts announcements over HTTP.
type AnnounceHandler struct {
	accept func(Announcement)
}

// NewAnnounceHandler returns a handler that calls accept for every valid announcement.
// accept must be safe for concurrent use.
func NewAnnounceHandler(accept func(Announcement)) *AnnounceHandler {
	return &AnnounceHandler{accept: accept}
}

// Mount adds POST /v1/announce to r.
func (in *AnnounceHandler) Mount(r chi.Router) { r.Post("/v1/announce", in.announce) }

func (in *AnnounceHandler) announce(w http.ResponseWriter, r *http.Request) {
	body, err := reply.ReadBody(w, r, MaxAnnouncement)
	if err != nil {
		reply.Error(w, err)
		return
	}
	a, faults := ParseAnnouncement(body)
	if len(faults) > 0 {
		reply.Faults(w, fault.BadRequest, faults)
		return
	}
	in.accept(a)
	w.WriteHeader(http.StatusNoContent)
}
