// Package desired defines the desired-state document: services, model versions,
// adapters, routing rules, tenants, limits, classes and the role policy.
//
// A document is accepted or refused whole. Parse names every fault with its JSON
// path. Two documents are the same if their digests are: the digest covers the
// decoded contents, so that white space and field order do not matter.
package desired

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/strictjson"
)

// MaxBytes is the largest document that is read.
const MaxBytes = 16 << 20

// Duration is a time span in JSON, such as "720ms".
type Duration time.Duration

// UnmarshalText parses a Go duration string.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("want a duration such as \"720ms\", not %q", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText returns the Go duration string.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// AsDuration returns d as a time.Duration.
func (d Duration) AsDuration() time.Duration { return time.Duration(d) }

// Document is the whole desired state.
type Document struct {
	Number   ident.DocumentNumber `json:"number"`
	Models   []Model              `json:"models,omitempty"`
	Services []Service            `json:"services"`
	Routes   []Route              `json:"routes,omitempty"`
	Forwards []ForwardRule        `json:"forwards,omitempty"`
	Classes  []Class              `json:"classes"`
	Tenants  []Tenant             `json:"tenants"`
	Engines  []EngineOverride     `json:"engines,omitempty"`
	Roles    RolePolicy           `json:"roles"`
	Limits   RequestLimits        `json:"limits,omitzero"`
	// Origin is the text that the document was translated from, if an operator wrote it
	// in another format. It is given back as it came.
	Origin json.RawMessage `json:"origin,omitempty"`
}

// Model is a model with its versions and adapters.
type Model struct {
	Name     string   `json:"name"`
	Versions []string `json:"versions"`
	Adapters []string `json:"adapters,omitempty"`
}

// Kind says how a service is spoken to.
type Kind string

// The kinds of services.
const (
	KindModel Kind = "model" // chat completions
	KindPlain Kind = "plain" // forwarded as it is
)

// Service is something that targets offer.
type Service struct {
	Name        ident.ServiceID `json:"name"`
	Kind        Kind            `json:"kind"`
	Model       string          `json:"model,omitempty"`
	Version     string          `json:"version,omitempty"`
	Operations  []Operation     `json:"operations,omitempty"`
	Timeout     Duration        `json:"timeout,omitempty"`     // longest run of one request; 0 means DefaultTimeout
	Connections int             `json:"connections,omitempty"` // that a target accepts from all instances together; 0 means no bound
	KVCapacity  ident.Tokens    `json:"memory,omitempty"`      // of one engine, for running requests and its prefix cache; 0 means unknown
}

// DefaultTimeout bounds a request of a service that names no timeout.
const DefaultTimeout = 60 * time.Second

// Operation is a request of a plain service. A path that ends in * matches
// every path with that prefix. The first match counts.
type Operation struct {
	Method     string `json:"method"`
	Path       string `json:"path"`
	AtMostOnce bool   `json:"once,omitempty"`       // may run at most once
	Idempotent bool   `json:"idempotent,omitempty"` // may be sent again after a failure
}

// Route leads requests for a model name to a service. Empty conditions match
// everything. The first match counts.
type Route struct {
	Model   string          `json:"model"`
	Tenant  ident.TenantID  `json:"tenant,omitempty"`
	Class   ident.ClassID   `json:"class,omitempty"`
	Service ident.ServiceID `json:"service"`
	Adapter string          `json:"adapter,omitempty"`
}

// Class is a class of requests with its objectives.
type Class struct {
	Name          ident.ClassID `json:"name"`
	Prompt        ident.Tokens  `json:"prompt,omitempty"`   // longest prompt that falls into the class unnamed; 0 means any
	FirstToken    Duration      `json:"first"`              // objective for the first token
	BetweenTokens Duration      `json:"between"`            // objective between tokens
	Priority      int           `json:"priority,omitempty"` // larger goes first at the engines
}

// TenantLimit bounds a tenant's requests.
type TenantLimit struct {
	Rate  float64 `json:"rate"`  // requests a second; 0 means no bound
	Burst float64 `json:"burst"` // requests at once
	Queue int     `json:"queue"` // requests that may wait at one instance
}

// Tenant is a caller's organisation.
type Tenant struct {
	Name     ident.TenantID    `json:"name"`
	Keys     []string          `json:"keys,omitempty"` // API keys; none means the header names the tenant
	Services []ident.ServiceID `json:"services,omitempty"`
	Limit    TenantLimit       `json:"limit"`
	Weight   float64           `json:"weight,omitempty"` // share under contention; 0 means 1
}

// Role is an engine's part in serving a model.
type Role string

// The roles of engines.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// EngineOverride fixes what the planner may not change of one engine, and takes a target
// of any kind out of service.
type EngineOverride struct {
	Name    ident.TargetID `json:"name"`
	Role    Role           `json:"role,omitempty"`
	Drained bool           `json:"drained,omitempty"` // gets no new work
}

// RolePolicy sets the policy of role changes.
type RolePolicy struct {
	Managed bool    `json:"managed,omitempty"` // whether the planner changes roles
	Goodput float64 `json:"goodput,omitempty"` // from 0, fewest changes, to 1, most goodput
}

// Parse decodes and validates a document. Every fault is returned with its path.
func Parse(data []byte) (*Document, strictjson.Faults) {
	var d Document
	if len(data) > MaxBytes {
		var fs strictjson.Faults
		fs.Add(strictjson.Root, "larger than %d bytes", MaxBytes)
		return nil, fs
	}
	if fs := strictjson.Decode(data, &d); len(fs) > 0 {
		return nil, fs
	}
	if fs := d.Validate(); len(fs) > 0 {
		return nil, fs
	}
	return &d, nil
}

// Encode returns the canonical form and its digest.
func (d *Document) Encode() ([]byte, ident.Digest, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return nil, "", fault.Wrap(fault.Internal, err)
	}
	sum := sha256.Sum256(data)
	return data, ident.Digest(hex.EncodeToString(sum[:])), nil
}
