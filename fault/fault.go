// Package fault holds the closed list of error kinds and the one table that
// maps each kind to the answer a caller gets.
//
// An error of the system carries exactly one Kind. Whoever answers a request
// looks the kind up in the table and learns the HTTP status, the stable code,
// whether the request ran, and whether asking again can help. Errors are built
// with merry, so that a kind survives any number of wrappings.
package fault

import (
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
)

// Kind is one entry of the closed list of error kinds.
type Kind int

// The error kinds. Internal is the kind of every error that carries none.
const (
	Internal Kind = iota
	BadRequest
	TooLarge
	Unauthorized
	NotFound
	KeyMissing
	KeyMalformed
	KeyReused
	KeyExpired
	InProgress
	OutcomeUnknown
	RateLimited
	Overloaded
	DeadlineUnreachable
	NoTarget
	ConfigLapsed
	Draining
	NotLeader
	NoQuorum
	DocumentInvalid
	NumberConflict
	NumberGap
	TargetFailed
	RetryBudget
	FenceRefused
	Corrupt
	FrameInvalid
	Timeout
	HeaderTooLarge
	kinds // the count of kinds; keep last
)

// Ran says whether the request that an error answers was executed.
type Ran string

// The three values of Ran. RanNo is only ever said when it is known to be true.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Response is what a caller is told about an error kind.
type Response struct {
	Status     int           // HTTP status code
	Code       string        // stable machine-readable code
	Ran        Ran           // whether the request was executed
	RetryAfter time.Duration // default time to wait; 0 if asking again cannot help
}

const (
	shortWait = 1 * time.Second
	longWait  = 5 * time.Second
)

var answers = [kinds]Response{
	Internal:            {http.StatusInternalServerError, "internal", RanUnknown, 0},
	BadRequest:          {http.StatusBadRequest, "bad_request", RanNo, 0},
	TooLarge:            {http.StatusRequestEntityTooLarge, "too_large", RanNo, 0},
	Unauthorized:        {http.StatusUnauthorized, "unauthorized", RanNo, 0},
	NotFound:            {http.StatusNotFound, "not_found", RanNo, 0},
	KeyMissing:          {http.StatusBadRequest, "key_missing", RanNo, 0},
	KeyMalformed:        {http.StatusBadRequest, "key_malformed", RanNo, 0},
	KeyReused:           {http.StatusUnprocessableEntity, "key_reused", RanNo, 0},
	KeyExpired:          {http.StatusGone, "key_expired", RanUnknown, 0},
	InProgress:          {http.StatusConflict, "in_progress", RanUnknown, shortWait},
	OutcomeUnknown:      {http.StatusBadGateway, "outcome_unknown", RanUnknown, 0},
	RateLimited:         {http.StatusTooManyRequests, "rate_limited", RanNo, shortWait},
	Overloaded:          {http.StatusServiceUnavailable, "overloaded", RanNo, shortWait},
	DeadlineUnreachable: {http.StatusServiceUnavailable, "deadline_unreachable", RanNo, shortWait},
	NoTarget:            {http.StatusServiceUnavailable, "no_target", RanNo, shortWait},
	ConfigLapsed:        {http.StatusServiceUnavailable, "config_lapsed", RanNo, shortWait},
	Draining:            {http.StatusServiceUnavailable, "draining", RanNo, shortWait},
	NotLeader:           {http.StatusServiceUnavailable, "not_leader", RanUnknown, shortWait},
	NoQuorum:            {http.StatusServiceUnavailable, "no_quorum", RanUnknown, shortWait},
	DocumentInvalid:     {http.StatusUnprocessableEntity, "document_invalid", RanNo, 0},
	NumberConflict:      {http.StatusConflict, "number_conflict", RanNo, 0},
	NumberGap:           {http.StatusConflict, "number_gap", RanNo, 0},
	TargetFailed:        {http.StatusBadGateway, "target_failed", RanUnknown, shortWait},
	RetryBudget:         {http.StatusServiceUnavailable, "retry_budget", RanUnknown, longWait},
	FenceRefused:        {http.StatusConflict, "fence_refused", RanNo, 0},
	Corrupt:             {http.StatusInternalServerError, "corrupt", RanUnknown, 0},
	FrameInvalid:        {http.StatusBadRequest, "frame_invalid", RanNo, 0},
	HeaderTooLarge:      {http.StatusRequestHeaderFieldsTooLarge, "header_too_large", RanNo, 0},
	Timeout:             {http.StatusGatewayTimeout, "timeout", RanUnknown, shortWait},
}

// Kinds returns every kind of the closed list in its order.
func Kinds() []Kind {
	all := make([]Kind, kinds)
	for i := range all {
		all[i] = Kind(i)
	}
	return all
}

// Response returns the table entry of k.
func (k Kind) Response() Response {
	if k < 0 || k >= kinds {
		return answers[Internal]
	}
	return answers[k]
}

// String returns the stable code of k.
func (k Kind) String() string { return k.Response().Code }

// Parse returns the kind whose stable code is code.
func Parse(code string) (Kind, bool) {
	for k := range answers {
		if answers[k].Code == code {
			return Kind(k), true
		}
	}
	return Internal, false
}

type valueKey int

const (
	kindKey valueKey = iota
	ranKey
	retryKey
)

// New returns an error of kind k with a formatted detail.
func New(k Kind, format string, args ...any) error {
	return merry.Wrap(merry.Errorf(format, args...), merry.WithValue(kindKey, k), merry.NoCaptureStack())
}

// Wrap gives err the kind k. It returns nil for a nil err.
func Wrap(k Kind, err error) error {
	return merry.Wrap(err, merry.WithValue(kindKey, k), merry.NoCaptureStack())
}

// WithRan returns err with a more exact statement of whether the request ran.
func WithRan(err error, ran Ran) error {
	return merry.Wrap(err, merry.WithValue(ranKey, ran), merry.NoCaptureStack())
}

// WithRetryAfter returns err with a measured time after which to ask again.
func WithRetryAfter(err error, d time.Duration) error {
	return merry.Wrap(err, merry.WithValue(retryKey, d), merry.NoCaptureStack())
}

// KindOf returns the kind of err, or Internal if it carries none.
func KindOf(err error) Kind {
	if k, ok := merry.Value(err, kindKey).(Kind); ok {
		return k
	}
	return Internal
}

// Is reports whether err is of kind k.
func Is(err error, k Kind) bool { return err != nil && KindOf(err) == k }

// StatusOf returns the HTTP status for err. A status that promises that the request has not
// run is given only where that is known; otherwise the answer is a bad gateway.
func StatusOf(err error) int {
	a := ResponseOf(err)
	if a.Ran != RanNo && promises(a.Status) {
		return http.StatusBadGateway
	}
	return a.Status
}

// promises reports whether callers take a status as the promise that the request has
// not run and never will.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// ResponseOf returns the table entry for err, refined by WithRan and WithRetryAfter.
func ResponseOf(err error) Response {
	a := KindOf(err).Response()
	if ran, ok := merry.Value(err, ranKey).(Ran); ok {
		a.Ran = ran
	}
	if d, ok := merry.Value(err, retryKey).(time.Duration); ok {
		a.RetryAfter = d
	}
	return a
}
