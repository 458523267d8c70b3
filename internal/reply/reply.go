// Package reply reads request bodies and writes the JSON responses of all HTTP interfaces. It
// writes errors with the status and code from the table of package fault.
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

// FailureBody describes the error and reports whether the request ran.
type FailureBody struct {
	Code       string            `json:"code"`
	Message    string            `json:"message"`
	Ran        fault.Ran         `json:"ran"`
	RetryAfter int               `json:"retryafter,omitempty"` // seconds
	Lookup     string            `json:"lookup,omitempty"`     // path at which to look up the outcome
	Faults     strictjson.Faults `json:"faults,omitempty"`
}

// JSON writes v with a status.
func JSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // a disconnected caller needs no reply
}

// FailureOf returns the JSON form of err.
func FailureOf(err error) Failure {
	a := fault.ResponseOf(err)
	return Failure{Error: FailureBody{
		Code: a.Code, Message: err.Error(), Ran: a.Ran, RetryAfter: ceilSeconds(a.RetryAfter),
	}}
}

// ceilSeconds rounds up to whole seconds, so that a caller which retries after that time is not too
// early.
func ceilSeconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }

// Error writes err with the status of its kind.
func Error(w http.ResponseWriter, err error) { WriteFailure(w, err, FailureOf(err)) }

// WriteFailure writes a failure with the status and the Retry-After header for err.
func WriteFailure(w http.ResponseWriter, err error, f Failure) {
	if f.Error.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(f.Error.RetryAfter))
	}
	JSON(w, fault.ResponseOf(err).Status, f)
}

// Faults writes the list of faults in a document.
func Faults(w http.ResponseWriter, k fault.Kind, fs strictjson.Faults) {
	err := fault.New(k, "document has %d faults", len(fs))
	f := FailureOf(err)
	f.Error.Faults = fs
	WriteFailure(w, err, f)
}

// PathParam returns a parameter of the request's path, decoded.
func PathParam(r *http.Request, name string) string {
	raw := chi.URLParam(r, name)
	if r.URL.RawPath == "" {
		return raw // already decoded
	}
	if decoded, err := url.PathUnescape(raw); err == nil {
		return decoded
	}
	return raw
}

// CheckHeader returns a fault.HeaderTooLarge error if the request's headers exceed limit bytes.
func CheckHeader(r *http.Request, limit int64) error {
	const overhead = int64(len(": \r\n")) // overhead of each line
	n := int64(len(r.Host)) + int64(len("Host")) + overhead
	for name, values := range r.Header {
		for _, v := range values {
			n += int64(len(name)) + int64(len(v)) + overhead
		}
	}
	if n > limit {
		return fault.New(fault.HeaderTooLarge, "request headers have %d bytes, limit %d", n, limit)
	}
	return nil
}

// bodyReadTimeout bounds the time to read a request's body.
const bodyReadTimeout = 30 * time.Second

// ReadBody reads a request's body of up to limit bytes. Its errors are of kind
// fault.TooLarge, fault.BadRequest, or fault.Overloaded if the bodies of all requests are too large.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	// Not every ResponseWriter supports deadlines. The body's length is bounded in any case.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyReadTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	if err != nil {
		w.Header().Set("Connection", "close") // the rest of the body may never end
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, fault.New(fault.TooLarge, "request body exceeds %d bytes", tooLarge.Limit)
	}
	if fault.Is(err, fault.Overloaded) {
		return nil, err
	}
	if err != nil {
		return nil, fault.New(fault.BadRequest, "cannot read request body: %v", err)
	}
	return body, nil
}
