package caller

import (
	"net/http"
	"strconv"
	"time"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/internal/reply"
)

// HeaderTicket is sent with a refusal that names a time to retry. A caller that returns it with its
// next attempt takes precedence over other requests. It is not signed: a tenant that uses more than
// its share gains nothing from it, see package admit.
const HeaderTicket = "Retry-Ticket"

// Tolerance around the time that a ticket names.
const (
	ticketEarlyTolerance = 200 * time.Millisecond
	ticketLateTolerance  = 30 * time.Second
)

// writeRefusal writes a refusal, with a ticket if the caller should retry.
func writeRefusal(w http.ResponseWriter, err error) {
	setTicket(w, err, time.Now())
	reply.Error(w, err)
}

func setTicket(w http.ResponseWriter, err error, now time.Time) {
	switch fault.KindOf(err) {
	case fault.Overloaded, fault.DeadlineUnreachable, fault.RateLimited:
		retryAt := now.Add(fault.ResponseOf(err).RetryAfter)
		w.Header().Set(HeaderTicket, strconv.FormatInt(retryAt.UnixMilli(), 10))
	}
}

// isTimelyRetry reports whether a request is a retry at the time that its ticket names.
func isTimelyRetry(r *http.Request, now time.Time) bool {
	ms, err := strconv.ParseInt(r.Header.Get(HeaderTicket), 10, 64)
	if err != nil {
		return false
	}
	since := now.Sub(time.UnixMilli(ms))
	return since >= -ticketEarlyTolerance && since <= ticketLateTolerance
}
