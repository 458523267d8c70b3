package target

import (
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/internal/reply"
)

// AnnounceHandler takes announcements over HTTP.
type AnnounceHandler struct {
	take func(Announcement)
}

// NewAnnounceHandler returns the handler that hands valid announcements to take.
func NewAnnounceHandler(take func(Announcement)) *AnnounceHandler {
	return &AnnounceHandler{take: take}
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
	in.take(a)
	w.WriteHeader(http.StatusNoContent)
}
