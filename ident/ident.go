// Package ident defines the named types for the identifiers and units that
// every other package shares. Identifiers are opaque strings chosen by
// operators or by the processes themselves; units carry their dimension in the
// type name so that a count of tokens is never added to a count of bytes.
package ident

import (
	"crypto/rand"
	"encoding/hex"
)

// InstanceID names one instance of the system, as given in its settings.
type InstanceID string

// BootID names one run of an instance's process. It changes with every start.
type BootID string

// DiskID names the contents of one data folder. An empty folder gets a new one.
type DiskID string

// RegionID names a region.
type RegionID string

// DomainID names a failure domain inside a region.
type DomainID string

// TenantID names a caller's organisation or workspace.
type TenantID string

// ClassID names a class of requests, such as short questions.
type ClassID string

// ServiceID names a service that targets offer: a model service or a plain one.
type ServiceID string

// TargetID names one back end, an engine or a replica of a plain service.
type TargetID string

// Incarnation counts the starts of a target. A larger one replaces a smaller.
type Incarnation uint64

// AttemptID names one attempt to run a request at a target.
type AttemptID string

// OrderID names one order to an engine.
type OrderID string

// IdempotencyKey is a caller's idempotency key.
type IdempotencyKey string

// Digest is a hexadecimal SHA-256 digest.
type Digest string

// DocumentNumber counts accepted desired-state documents, starting at 1.
type DocumentNumber uint64

// FencingToken is a fencing number. A target that checks it refuses smaller ones.
type FencingToken uint64

// Tokens is a count of model tokens.
type Tokens int

// Bytes is a count of bytes.
type Bytes int64

// TokensPerSecond is a rate of model tokens.
type TokensPerSecond float64

// randomBytes is the length of the random part of generated identifiers.
const randomBytes = 12

// NewRandom returns a fresh identifier with 96 random bits in hexadecimal.
func NewRandom() string {
	var b [randomBytes]byte
	// rand.Read never fails on the platforms that the module supports.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
