package desired

import (
	"slices"
	"strings"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
)

// Service returns the service with the given name.
func (d *Document) Service(name ident.ServiceID) (*Service, bool) {
	i := slices.IndexFunc(d.Services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return nil, false
	}
	return &d.Services[i], true
}

// Route returns the first route that matches a request.
func (d *Document) Route(model string, tenant ident.TenantID, class ident.ClassID) (*Route, bool) {
	i := slices.IndexFunc(d.Routes, func(r Route) bool {
		return r.Model == model && (r.Tenant == "" || r.Tenant == tenant) && (r.Class == "" || r.Class == class)
	})
	if i < 0 {
		return nil, false
	}
	return &d.Routes[i], true
}

// Tenant returns the tenant with the given name.
func (d *Document) Tenant(name ident.TenantID) (*Tenant, bool) {
	i := slices.IndexFunc(d.Tenants, func(t Tenant) bool { return t.Name == name })
	if i < 0 {
		return nil, false
	}
	return &d.Tenants[i], true
}

// Class returns the class with the given name.
func (d *Document) Class(name ident.ClassID) (*Class, bool) {
	i := slices.IndexFunc(d.Classes, func(c Class) bool { return c.Name == name })
	if i < 0 {
		return nil, false
	}
	return &d.Classes[i], true
}

// ClassFor returns the first class that admits a prompt of n tokens, or the last class
// if there is none.
func (d *Document) ClassFor(n ident.Tokens) *Class {
	for i := range d.Classes {
		if c := &d.Classes[i]; c.Prompt == 0 || n <= c.Prompt {
			return c
		}
	}
	return &d.Classes[len(d.Classes)-1]
}

// FixedRole returns the role to which the document pins an engine, or "" if it does not.
func (d *Document) FixedRole(id ident.TargetID) Role {
	for _, e := range d.Engines {
		if e.Name == id {
			return e.Role
		}
	}
	return ""
}

// Drained returns the targets that the document takes out of service.
func (d *Document) Drained() []ident.TargetID {
	var ids []ident.TargetID
	for _, e := range d.Engines {
		if e.Drained {
			ids = append(ids, e.Name)
		}
	}
	return ids
}

// Allows reports whether the tenant may call the service.
func (t *Tenant) Allows(s ident.ServiceID) bool {
	return len(t.Services) == 0 || slices.Contains(t.Services, s)
}

// Operation returns the first operation that matches a request. A request without a
// match is neither at-most-once nor idempotent, except that GET and HEAD are idempotent.
func (s *Service) Operation(method, path string) Operation {
	for _, op := range s.Operations {
		if op.Method == method && op.matches(path) {
			return op
		}
	}
	safe := method == "GET" || method == "HEAD"
	return Operation{Method: method, Path: path, Idempotent: safe}
}

func (op Operation) matches(path string) bool {
	if prefix, ok := strings.CutSuffix(op.Path, "*"); ok {
		return strings.HasPrefix(path, prefix)
	}
	return op.Path == path
}

// RequestTimeout returns the longest duration of one request.
func (s *Service) RequestTimeout() time.Duration {
	if s.Timeout == 0 {
		return DefaultTimeout
	}
	return time.Duration(s.Timeout)
}
