// Package fault defines the error kinds of the system and the response that a
// caller receives for each kind.
//
// The set of kinds is closed, and every error has exactly one Kind; errors created
// elsewhere count as Internal. A single table maps each kind to the HTTP status, the
// stable error code, whether the request ran, and whether a retry can succeed.
// Errors are built with merry, so that the kind is preserved when an error is
// wrapped.
package fault

import (
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
)

// Kind is the kind of an error.
type Kind int

// The error kinds. Internal is the kind of every error that has no explicit kind.
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
	TargetLimited
	PartQuarantined
	StreamUnknown
	kindCount // number of kinds; must be last
)

// Ran indicates whether a failed request was executed by a target.
type Ran string

// The values of Ran. RanNo is used only if it is certain that the request was not
// and will not be executed.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Response is the part of an HTTP response that depends on the kind of an error.
type Response struct {
	Status     int           // HTTP status code
	Code       string        // stable machine-readable code
	Ran        Ran           // whether the request was executed
	RetryAfter time.Duration // delay before a retry; 0 if a retry cannot succeed
}

// Default delays before a retry.
const (
	shortRetryDelay = 1 * time.Second
	longRetryDelay  = 5 * time.Second
)

var responses = [kindCount]Response{
	Internal:            {http.StatusInternalServerError, "internal", RanUnknown, 0},
	BadRequest:          {http.StatusBadRequest, "bad_request", RanNo, 0},
	TooLarge:            {http.StatusRequestEntityTooLarge, "too_large", RanNo, 0},
	Unauthorized:        {http.StatusUnauthorized, "unauthorized", RanNo, 0},
	NotFound:            {http.StatusNotFound, "not_found", RanNo, 0},
	KeyMissing:          {http.StatusBadRequest, "key_missing", RanNo, 0},
	KeyMalformed:        {http.StatusBadRequest, "key_malformed", RanNo, 0},
	KeyReused:           {http.StatusUnprocessableEntity, "key_reused", RanNo, 0},
	KeyExpired:          {http.StatusGone, "key_expired", RanUnknown, 0},
	InProgress:          {http.StatusConflict, "in_progress", RanUnknown, shortRetryDelay},
	OutcomeUnknown:      {http.StatusBadGateway, "outcome_unknown", RanUnknown, 0},
	RateLimited:         {http.StatusTooManyRequests, "rate_limited", RanNo, shortRetryDelay},
	Overloaded:          {http.StatusServiceUnavailable, "overloaded", RanNo, shortRetryDelay},
	DeadlineUnreachable: {http.StatusServiceUnavailable, "deadline_unreachable", RanNo, shortRetryDelay},
	NoTarget:            {http.StatusServiceUnavailable, "no_target", RanNo, shortRetryDelay},
	ConfigLapsed:        {http.StatusServiceUnavailable, "config_lapsed", RanNo, shortRetryDelay},
	Draining:            {http.StatusServiceUnavailable, "draining", RanNo, shortRetryDelay},
	NotLeader:           {http.StatusServiceUnavailable, "not_leader", RanUnknown, shortRetryDelay},
	NoQuorum:            {http.StatusServiceUnavailable, "no_quorum", RanUnknown, shortRetryDelay},
	DocumentInvalid:     {http.StatusUnprocessableEntity, "document_invalid", RanNo, 0},
	NumberConflict:      {http.StatusConflict, "number_conflict", RanNo, 0},
	NumberGap:           {http.StatusConflict, "number_gap", RanNo, 0},
	TargetFailed:        {http.StatusBadGateway, "target_failed", RanUnknown, shortRetryDelay},
	RetryBudget:         {http.StatusServiceUnavailable, "retry_budget", RanUnknown, longRetryDelay},
	FenceRefused:        {http.StatusConflict, "fence_refused", RanNo, 0},
	Corrupt:             {http.StatusInternalServerError, "corrupt", RanUnknown, 0},
	FrameInvalid:        {http.StatusBadRequest, "frame_invalid", RanNo, 0},
	HeaderTooLarge:      {http.StatusRequestHeaderFieldsTooLarge, "header_too_large", RanNo, 0},
	TargetLimited:       {http.StatusServiceUnavailable, "target_limited", RanNo, shortRetryDelay},
	PartQuarantined:     {http.StatusServiceUnavailable, "part_quarantined", RanNo, longRetryDelay},
	StreamUnknown:       {http.StatusServiceUnavailable, "stream_unknown", RanNo, 0},
	Timeout:             {http.StatusGatewayTimeout, "timeout", RanUnknown, shortRetryDelay},
}

// Kinds returns all kinds in the order of their declaration.
func Kinds() []Kind {
	all := make([]Kind, kindCount)
	for i := range all {
		all[i] = Kind(i)
	}
	return all
}

// Response returns the table entry of k.
func (k Kind) Response() Response {
	if k < 0 || k >= kindCount {
		return responses[Internal]
	}
	return responses[k]
}

// String returns the stable code of k.
func (k Kind) String() string { return k.Response().Code }

// Parse returns the kind with the given stable code. It returns false if there is none.
func Parse(code string) (Kind, bool) {
	for k := range responses {
		if responses[k].Code == code {
			return Kind(k), true
		}
	}
	return Internal, false
}

// valueKey is the type of the keys of the values attached to errors.
type valueKey int

const (
	kindKey valueKey = iota
	ranKey
	retryKey
)

// New returns an error of kind k with a formatted message.
func New(k Kind, format string, args ...any) error {
	return merry.Wrap(merry.Errorf(format, args...), merry.WithValue(kindKey, k), merry.NoCaptureStack())
}

// Wrap returns err with kind k. It returns nil if err is nil.
func Wrap(k Kind, err error) error {
	return merry.Wrap(err, merry.WithValue(kindKey, k), merry.NoCaptureStack())
}

// WithRan returns err with a Ran value that overrides the default of its kind.
func WithRan(err error, ran Ran) error {
	return merry.Wrap(err, merry.WithValue(ranKey, ran), merry.NoCaptureStack())
}

// WithRetryAfter returns err with a retry delay that overrides the default of its kind.
func WithRetryAfter(err error, d time.Duration) error {
	return merry.Wrap(err, merry.WithValue(retryKey, d), merry.NoCaptureStack())
}

// KindOf returns the kind of err, or Internal if err has no explicit kind.
func KindOf(err error) Kind {
	if k, ok := merry.Value(err, kindKey).(Kind); ok {
		return k
	}
	return Internal
}

// Is reports whether err is non-nil and of kind k.
func Is(err error, k Kind) bool { return err != nil && KindOf(err) == k }

// StatusOf returns the HTTP status for err. A status that implies that the request has
// not run is returned only if that is certain; otherwise the status is 502 Bad Gateway.
func StatusOf(err error) int {
	r := ResponseOf(err)
	if r.Ran != RanNo && impliesNotRun(r.Status) {
		return http.StatusBadGateway
	}
	return r.Status
}

// impliesNotRun reports whether callers may infer from a status that the request has
// not run and will not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// ResponseOf returns the response for the kind of err, with the values set by WithRan
// and WithRetryAfter.
func ResponseOf(err error) Response {
	r := KindOf(err).Response()
	if ran, ok := merry.Value(err, ranKey).(Ran); ok {
		r.Ran = ran
	}
	if d, ok := merry.Value(err, retryKey).(time.Duration); ok {
		r.RetryAfter = d
	}
	return r
}
