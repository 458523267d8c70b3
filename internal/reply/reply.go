// Package reply writes the JSON answers of every HTTP interface. Errors are
// written from the table of package fault.
package reply

import (
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/internal/strictjson"
)

// Failure is the JSON form of an error.
type Failure struct {
	Error FailureBody `json:"error"`
}

// FailureBody tells what went wrong and whether the request ran.
type FailureBody struct {
	Code       string            `json:"code"`
	Message    string            `json:"message"`
	Ran        fault.Ran         `json:"ran"`
	RetryAfter int               `json:"retryafter,omitempty"` // seconds
	Lookup     string            `json:"lookup,omitempty"`     // path to ask for the outcome
	Faults     strictjson.Faults `json:"faults,omitempty"`
}

// JSON writes v with a status.
func JSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // a caller that has gone reads nothing
}

// FailureOf returns the JSON form of err.
func FailureOf(err error) Failure {
	a := fault.ResponseOf(err)
	return Failure{Error: FailureBody{
		Code: a.Code, Message: err.Error(), Ran: a.Ran, RetryAfter: seconds(a.RetryAfter),
	}}
}

// seconds rounds up, so that who comes back then does not come too early.
func seconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }

// Error writes err as the table says.
func Error(w http.ResponseWriter, err error) { WriteFailure(w, err, FailureOf(err)) }

// WriteFailure writes a failure with the status and Retry-After of err.
func WriteFailure(w http.ResponseWriter, err error, f Failure) {
	if f.Error.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(f.Error.RetryAfter))
	}
	JSON(w, fault.ResponseOf(err).Status, f)
}

// Faults writes the faults of a document.
func Faults(w http.ResponseWriter, k fault.Kind, fs strictjson.Faults) {
	err := fault.New(k, "%d faults", len(fs))
	f := FailureOf(err)
	f.Error.Faults = fs
	WriteFailure(w, err, f)
}

// PathParam returns a decoded parameter of the request's path.
func PathParam(r *http.Request, name string) string {
	raw := chi.URLParam(r, name)
	if r.URL.RawPath == "" {
		return raw // decoded already
	}
	if decoded, err := url.PathUnescape(raw); err == nil {
		return decoded
	}
	return raw
}

// CheckHeader returns an error if a request's headers are longer than limit bytes.
func CheckHeader(r *http.Request, limit int64) error {
	const around = int64(len(": \r\n")) // of each line
	n := int64(len(r.Host)) + int64(len("Host")) + around
	for name, values := range r.Header {
		for _, v := range values {
			n += int64(len(name)) + int64(len(v)) + around
		}
	}
	if n > limit {
		return fault.New(fault.HeaderTooLarge, "headers of %d bytes, limit %d", n, limit)
	}
	return nil
}

// bodyTime bounds the reading of a request's body.
const bodyTime = 30 * time.Second

// ReadBody reads a request's body of up to limit bytes.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	// Not every writer has deadlines; the body is bounded in bytes all the same.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTime))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, fault.New(fault.TooLarge, "body of more than %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return nil, fault.New(fault.BadRequest, "body: %v", err)
	}
	return body, nil
}
