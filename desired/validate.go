package desired

import (
	"fmt"
	"regexp"
	"slices"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/caller/key"
	"github.com/hickoryridge/hickoryridge/internal/strictjson"
)

// maxTimeout is the upper bound of the timeout of a service or a forward rule.
const maxTimeout = 30 * time.Minute

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// Validate returns all faults of a decoded document.
func (d *Document) Validate() strictjson.Faults {
	v := validator{doc: d}
	if d.Number == 0 {
		v.faults.Add("$.number", "want a number from 1 up")
	}
	v.checkModels()
	v.checkServices()
	v.checkClasses()
	v.checkTenants()
	v.checkRoutes()
	v.checkForwardRules()
	v.checkEngines()
	v.checkRequestLimits()
	if d.Roles.Goodput < 0 || d.Roles.Goodput > 1 {
		v.faults.Add("$.roles.goodput", "want a number from 0 to 1, not %v", d.Roles.Goodput)
	}
	return v.faults
}

// validator collects the faults of a document.
type validator struct {
	doc    *Document
	faults strictjson.Faults
}

// checkNames checks that the n names of a list are well formed and unique.
func (v *validator) checkNames(list string, n int, name func(i int) string) {
	first := map[string]int{}
	for i := range n {
		path := fmt.Sprintf("$.%s[%d].name", list, i)
		if !namePattern.MatchString(name(i)) {
			v.faults.Add(path, "want 1 to 64 letters, digits, dots, dashes or underscores, not %q", name(i))
			continue
		}
		if j, duplicate := first[name(i)]; duplicate {
			v.faults.Add(path, "name %q stands at $.%s[%d] already", name(i), list, j)
			continue
		}
		first[name(i)] = i
	}
}

func (v *validator) checkModels() {
	v.checkNames("models", len(v.doc.Models), func(i int) string { return v.doc.Models[i].Name })
	for i, m := range v.doc.Models {
		if len(m.Versions) == 0 {
			v.faults.Add(fmt.Sprintf("$.models[%d].versions", i), "want at least one version")
		}
		v.checkUnique(fmt.Sprintf("$.models[%d].versions", i), m.Versions)
		v.checkUnique(fmt.Sprintf("$.models[%d].adapters", i), m.Adapters)
	}
}

func (v *validator) checkUnique(path string, values []string) {
	for i, s := range values {
		switch {
		case s == "":
			v.faults.Add(fmt.Sprintf("%s[%d]", path, i), "is empty")
		case slices.Contains(values[:i], s):
			v.faults.Add(fmt.Sprintf("%s[%d]", path, i), "%q stands twice", s)
		}
	}
}

func (v *validator) checkServices() {
	if len(v.doc.Services) == 0 && len(v.doc.Origin) == 0 {
		v.faults.Add("$.services", "want at least one service")
	}
	v.checkNames("services", len(v.doc.Services), func(i int) string { return string(v.doc.Services[i].Name) })
	for i := range v.doc.Services {
		v.checkService(fmt.Sprintf("$.services[%d]", i), &v.doc.Services[i])
	}
}

func (v *validator) checkService(path string, s *Service) {
	if s.Timeout < 0 || time.Duration(s.Timeout) > maxTimeout {
		v.faults.Add(path+".timeout", "want 0s to %v", maxTimeout)
	}
	if s.KVCapacity < 0 {
		v.faults.Add(path+".memory", "is negative")
	}
	if s.Capacity != nil {
		v.checkCapacity(path+".capacity", s.Capacity)
	}
	switch s.Kind {
	case KindModel:
		v.checkModelService(path, s)
	case KindPlain:
		v.checkPlainService(path, s)
	default:
		v.faults.Add(path+".kind", "want %q or %q, not %q", KindModel, KindPlain, s.Kind)
	}
}

// maxCapacity is the upper bound of the number of a service's targets in a domain.
const maxCapacity = 10_000

func (v *validator) checkCapacity(path string, c *Capacity) {
	if c.Min < 0 || c.Max < c.Min || c.Max > maxCapacity {
		v.faults.Add(path, "want 0 to %d targets with min at most max, not %d to %d", maxCapacity, c.Min, c.Max)
	}
	if c.Start < 0 || time.Duration(c.Start) > maxTimeout {
		v.faults.Add(path+".start", "want 0s to %v", maxTimeout)
	}
	if !(c.Reclaimable >= 0) {
		v.faults.Add(path+".reclaimable", "want a price of 0 or more, not %v", c.Reclaimable)
	}
	for d, price := range c.Prices {
		if !(price >= 0) {
			v.faults.Add(path+".prices", "want a price of 0 or more in domain %q, not %v", d, price)
		}
	}
}

func (v *validator) checkModelService(path string, s *Service) {
	if len(s.Operations) > 0 {
		v.faults.Add(path+".operations", "only plain services have operations")
	}
	i := slices.IndexFunc(v.doc.Models, func(m Model) bool { return m.Name == s.Model })
	if i < 0 {
		v.faults.Add(path+".model", "no model is named %q", s.Model)
		return
	}
	if !slices.Contains(v.doc.Models[i].Versions, s.Version) {
		v.faults.Add(path+".version", "model %q has no version %q", s.Model, s.Version)
	}
}

func (v *validator) checkPlainService(path string, s *Service) {
	if s.Model != "" || s.Version != "" {
		v.faults.Add(path+".model", "plain services have no model")
	}
	for i, op := range s.Operations {
		at := fmt.Sprintf("%s.operations[%d]", path, i)
		if op.Method == "" {
			v.faults.Add(at+".method", "is empty")
		}
		if op.Path == "" || op.Path[0] != '/' {
			v.faults.Add(at+".path", "want a path that begins with /, not %q", op.Path)
		}
		if op.AtMostOnce && op.Idempotent {
			v.faults.Add(at+".once", "an operation is once or idempotent, not both")
		}
	}
}

func (v *validator) checkClasses() {
	if len(v.doc.Classes) == 0 && len(v.doc.Origin) == 0 {
		v.faults.Add("$.classes", "want at least one class")
	}
	v.checkNames("classes", len(v.doc.Classes), func(i int) string { return string(v.doc.Classes[i].Name) })
	for i, c := range v.doc.Classes {
		path := fmt.Sprintf("$.classes[%d]", i)
		if c.FirstToken <= 0 {
			v.faults.Add(path+".first", "want a positive duration")
		}
		if c.BetweenTokens <= 0 {
			v.faults.Add(path+".between", "want a positive duration")
		}
		if c.Prompt < 0 {
			v.faults.Add(path+".prompt", "is negative")
		}
	}
}

func (v *validator) checkTenants() {
	if len(v.doc.Tenants) == 0 && len(v.doc.Origin) == 0 {
		v.faults.Add("$.tenants", "want at least one tenant")
	}
	v.checkNames("tenants", len(v.doc.Tenants), func(i int) string { return string(v.doc.Tenants[i].Name) })
	owner := map[string]int{}
	for i, t := range v.doc.Tenants {
		path := fmt.Sprintf("$.tenants[%d]", i)
		v.checkTenantLimit(path+".limit", t.Limit)
		if t.Weight < 0 {
			v.faults.Add(path+".weight", "is negative")
		}
		for j, k := range t.Keys {
			at := fmt.Sprintf("%s.keys[%d]", path, j)
			if err := key.Validate(k); err != nil {
				v.faults.Add(at, "%v", err)
				continue
			}
			if first, duplicate := owner[k]; duplicate {
				v.faults.Add(at, "belongs to $.tenants[%d]", first)
				continue
			}
			owner[k] = i
		}
		for j, name := range t.Services {
			v.checkServiceExists(fmt.Sprintf("%s.services[%d]", path, j), name)
		}
	}
}

func (v *validator) checkTenantLimit(path string, l TenantLimit) {
	if l.Rate < 0 {
		v.faults.Add(path+".rate", "is negative")
	}
	if l.Burst < 0 {
		v.faults.Add(path+".burst", "is negative")
	}
	if l.Rate > 0 && l.Burst < 1 {
		v.faults.Add(path+".burst", "a rate needs a burst of 1 or more")
	}
	if l.Queue < 0 {
		v.faults.Add(path+".queue", "is negative")
	}
}

func (v *validator) checkServiceExists(path string, name ident.ServiceID) {
	if _, ok := v.doc.Service(name); !ok {
		v.faults.Add(path, "no service is named %q", name)
	}
}

func (v *validator) checkRoutes() {
	for i, r := range v.doc.Routes {
		path := fmt.Sprintf("$.routes[%d]", i)
		if r.Model == "" {
			v.faults.Add(path+".model", "is empty")
		}
		if r.Tenant != "" {
			if _, ok := v.doc.Tenant(r.Tenant); !ok {
				v.faults.Add(path+".tenant", "no tenant is named %q", r.Tenant)
			}
		}
		if r.Class != "" {
			if _, ok := v.doc.Class(r.Class); !ok {
				v.faults.Add(path+".class", "no class is named %q", r.Class)
			}
		}
		v.checkRouteService(path, r)
	}
}

func (v *validator) checkRouteService(path string, r Route) {
	s, ok := v.doc.Service(r.Service)
	if !ok {
		v.faults.Add(path+".service", "no service is named %q", r.Service)
		return
	}
	if s.Kind != KindModel {
		v.faults.Add(path+".service", "service %q is not a model service", r.Service)
		return
	}
	i := slices.IndexFunc(v.doc.Models, func(m Model) bool { return m.Name == s.Model })
	if r.Adapter != "" && i >= 0 && !slices.Contains(v.doc.Models[i].Adapters, r.Adapter) {
		v.faults.Add(path+".adapter", "model %q has no adapter %q", s.Model, r.Adapter)
	}
}

func (v *validator) checkEngines() {
	v.checkNames("engines", len(v.doc.Engines), func(i int) string { return string(v.doc.Engines[i].Name) })
	for i, e := range v.doc.Engines {
		switch e.Role {
		case "", RoleMixed, RolePrefill, RoleDecode:
		default:
			v.faults.Add(fmt.Sprintf("$.engines[%d].role", i), "want mixed, prefill or decode, not %q", e.Role)
		}
	}
}
