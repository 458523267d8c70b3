// Package desired defines the desired-state document, with which operators configure
// the system: services, model versions, adapters, routing rules, tenants, limits,
// request classes and the role policy.
//
// A document is accepted or refused as a whole. Parse reports every fault with its
// JSON path. Two documents are equal if their digests are equal. The digest covers
// the decoded contents, so white space and field order do not affect it.
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

// MaxBytes is the size limit of a document, in bytes.
const MaxBytes = 16 << 20

// Duration is a time.Duration that is encoded in JSON as a string such as "720ms".
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

// Document is the complete desired state.
type Document struct {
	Number   ident.DocumentNumber `json:"number"`
	Models   []Model              `json:"models,omitempty"`
	Services []Service            `json:"services"`
	Routes   []Route              `json:"routes,omitempty"`
	Forwards []ForwardRule        `json:"forwards,omitempty"`
	Classes  []Class              `json:"classes"`
	Tenants  []Tenant             `json:"tenants"`
	// Keyed means that callers prove by an API key which tenant they are, also those of tenants that have no
	// keys left. Without it, a tenant without keys is named by a header, and forwarded requests have no
	// tenant.
	Keyed   bool             `json:"keyed,omitempty"`
	Engines []EngineOverride `json:"engines,omitempty"`
	Roles   RolePolicy       `json:"roles"`
	Limits  RequestLimits    `json:"limits,omitzero"`
	// Origin is the text from which the document was translated, if an operator wrote
	// it in another format. It is returned unchanged.
	Origin json.RawMessage `json:"origin,omitempty"`
}

// Model is a model with its versions and adapters.
type Model struct {
	Name     string   `json:"name"`
	Versions []string `json:"versions"`
	Adapters []string `json:"adapters,omitempty"`
}

// Kind is the protocol of a service.
type Kind string

// The kinds of services.
const (
	KindModel Kind = "model" // chat completions of a model
	KindPlain Kind = "plain" // plain HTTP; requests are forwarded unchanged
)

// Service is a service that targets offer.
type Service struct {
	Name       ident.ServiceID `json:"name"`
	Kind       Kind            `json:"kind"`
	Model      string          `json:"model,omitempty"`
	Version    string          `json:"version,omitempty"`
	Operations []Operation     `json:"operations,omitempty"`
	// Timeout is the longest duration of one request; 0 means DefaultTimeout.
	Timeout Duration `json:"timeout,omitempty"`
	// Connections is how many connections a target accepts from all instances together;
	// 0 means no bound.
	Connections int `json:"connections,omitempty"`
	// KVCapacity is the KV cache capacity of one engine, for running requests and the
	// prefix cache together; 0 means unknown.
	KVCapacity ident.Tokens `json:"memory,omitempty"`
	// Capacity bounds the targets that may be ordered; nil if none may.
	Capacity *Capacity `json:"capacity,omitempty"`
}

// Capacity bounds the number of a service's targets that may be ordered from a provider.
type Capacity struct {
	Min int `json:"min"` // in each domain
	Max int `json:"max"` // in each domain
	// Start is the time until a target that was ordered serves.
	Start Duration `json:"start"`
	// Reclaimable is the price of a target that the provider may take back, as a part of that of another one; 0 if
	// there are none.
	Reclaimable float64 `json:"reclaimable,omitempty"`
	// Prices are the prices of a target for a second, by domain.
	Prices map[ident.DomainID]float64 `json:"prices"`
}

// DefaultTimeout is the request timeout of a service that sets none.
const DefaultTimeout = 60 * time.Second

// Operation describes the requests of a plain service with a method and path. A path
// that ends in * matches every path with that prefix. The first match applies.
type Operation struct {
	Method     string `json:"method"`
	Path       string `json:"path"`
	AtMostOnce bool   `json:"once,omitempty"`       // runs at most once
	Idempotent bool   `json:"idempotent,omitempty"` // may be retried after a failure
}

// Route maps requests for a model name to a service. An empty Tenant or Class matches
// any. The first match applies.
type Route struct {
	Model   string          `json:"model"`
	Tenant  ident.TenantID  `json:"tenant,omitempty"`
	Class   ident.ClassID   `json:"class,omitempty"`
	Service ident.ServiceID `json:"service"`
	Adapter string          `json:"adapter,omitempty"`
}

// Class is a class of requests with its latency objectives.
type Class struct {
	Name ident.ClassID `json:"name"`
	// Prompt is the longest prompt that is assigned to the class if a request names no
	// class; 0 means any.
	Prompt        ident.Tokens `json:"prompt,omitempty"`
	FirstToken    Duration     `json:"first"`              // objective for the first token
	BetweenTokens Duration     `json:"between"`            // objective between tokens
	Priority      int          `json:"priority,omitempty"` // engines run larger ones first
}

// TenantLimit bounds the requests of a tenant.
type TenantLimit struct {
	Rate  float64 `json:"rate"`  // requests per second; 0 means no bound
	Burst float64 `json:"burst"` // requests that may arrive at once
	Queue int     `json:"queue"` // requests that may be queued at one instance
}

// Tenant is an organization or workspace of callers.
type Tenant struct {
	Name     ident.TenantID    `json:"name"`
	Keys     []string          `json:"keys,omitempty"` // API keys; if none, a header names the tenant
	Services []ident.ServiceID `json:"services,omitempty"`
	Limit    TenantLimit       `json:"limit"`
	Weight   float64           `json:"weight,omitempty"` // share under contention; 0 means 1
	// Priority takes the place of the priority of a forward rule for the tenant's requests.
	Priority *int `json:"priority,omitempty"`
}

// Role is the role of an engine in serving a model: prefill, decode or both.
type Role string

// The roles of engines.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// EngineOverride pins the role of one engine, which the planner then does not change,
// or takes a target of any kind out of service.
type EngineOverride struct {
	Name    ident.TargetID `json:"name"`
	Role    Role           `json:"role,omitempty"`
	Drained bool           `json:"drained,omitempty"` // receives no new requests
}

// RolePolicy is the policy for role changes.
type RolePolicy struct {
	Managed bool    `json:"managed,omitempty"` // whether the planner changes roles
	Goodput float64 `json:"goodput,omitempty"` // from 0 (fewest changes) to 1 (highest goodput)
}

// Parse decodes and validates a document. It returns either the document or all
// faults with their paths.
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

// Encode returns the canonical form of the document and its digest.
func (d *Document) Encode() ([]byte, ident.Digest, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return nil, "", fault.Wrap(fault.Internal, err)
	}
	sum := sha256.Sum256(data)
	return data, ident.Digest(hex.EncodeToString(sum[:])), nil
}
