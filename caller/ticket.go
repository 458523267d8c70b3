package caller

import (
	"net/http"
	"strconv"
	"time"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/internal/reply"
)

// HeaderTicket is sent with a refusal that says when to come back. A caller that
// returns it with its next try goes before other requests. It has no signature: a
// tenant that takes more than its share gains nothing by it, see package admit.
const HeaderTicket = "Retry-Ticket"

// Times around the moment that a ticket names.
const (
	ticketEarly = 200 * time.Millisecond
	ticketLate  = 30 * time.Second
)

// refuse writes a refusal, with a ticket if the caller should come back.
func refuse(w http.ResponseWriter, err error) {
	setTicket(w, err, time.Now())
	reply.Error(w, err)
}

func setTicket(w http.ResponseWriter, err error, now time.Time) {
	switch fault.KindOf(err) {
	case fault.Overloaded, fault.DeadlineUnreachable, fault.RateLimited:
		due := now.Add(fault.ResponseOf(err).RetryAfter)
		w.Header().Set(HeaderTicket, strconv.FormatInt(due.UnixMilli(), 10))
	}
}

// returning reports whether a request comes back when it was told to.
func returning(r *http.Request, now time.Time) bool {
	ms, err := strconv.ParseInt(r.Header.Get(HeaderTicket), 10, 64)
	if err != nil {
		return false
	}
	since := now.Sub(time.UnixMilli(ms))
	return since >= -ticketEarly && since <= ticketLate
}
