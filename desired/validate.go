package desired

import (
	"fmt"
	"regexp"
	"slices"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/strictjson"
)

// maxTimeout bounds the timeout of a service.
const maxTimeout = 30 * time.Minute

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// Validate returns every fault of a decoded document.
func (d *Document) Validate() strictjson.Faults {
	v := validator{d: d}
	if d.Number == 0 {
		v.faults.Add("$.number", "want a number from 1 up")
	}
	v.models()
	v.services()
	v.classes()
	v.tenants()
	v.routes()
	v.forwards()
	v.engines()
	v.limits()
	if d.Roles.Goodput < 0 || d.Roles.Goodput > 1 {
		v.faults.Add("$.roles.goodput", "want a number from 0 to 1, not %v", d.Roles.Goodput)
	}
	return v.faults
}

type validator struct {
	d      *Document
	faults strictjson.Faults
}

// names checks the form of names and that none stands twice.
func (v *validator) names(list string, n int, name func(i int) string) {
	first := map[string]int{}
	for i := range n {
		path := fmt.Sprintf("$.%s[%d].name", list, i)
		if !namePattern.MatchString(name(i)) {
			v.faults.Add(path, "want 1 to 64 letters, digits, dots, dashes or underscores, not %q", name(i))
			continue
		}
		if j, twice := first[name(i)]; twice {
			v.faults.Add(path, "name %q stands at $.%s[%d] already", name(i), list, j)
			continue
		}
		first[name(i)] = i
	}
}

func (v *validator) models() {
	v.names("models", len(v.d.Models), func(i int) string { return v.d.Models[i].Name })
	for i, m := range v.d.Models {
		if len(m.Versions) == 0 {
			v.faults.Add(fmt.Sprintf("$.models[%d].versions", i), "want at least one version")
		}
		v.unique(fmt.Sprintf("$.models[%d].versions", i), m.Versions)
		v.unique(fmt.Sprintf("$.models[%d].adapters", i), m.Adapters)
	}
}

func (v *validator) unique(path string, values []string) {
	for i, s := range values {
		switch {
		case s == "":
			v.faults.Add(fmt.Sprintf("%s[%d]", path, i), "is empty")
		case slices.Contains(values[:i], s):
			v.faults.Add(fmt.Sprintf("%s[%d]", path, i), "%q stands twice", s)
		}
	}
}

func (v *validator) services() {
	if len(v.d.Services) == 0 && len(v.d.Origin) == 0 {
		v.faults.Add("$.services", "want at least one service")
	}
	v.names("services", len(v.d.Services), func(i int) string { return string(v.d.Services[i].Name) })
	for i := range v.d.Services {
		v.service(fmt.Sprintf("$.services[%d]", i), &v.d.Services[i])
	}
}

func (v *validator) service(path string, s *Service) {
	if s.Timeout < 0 || time.Duration(s.Timeout) > maxTimeout {
		v.faults.Add(path+".timeout", "want 0s to %v", maxTimeout)
	}
	if s.KVCapacity < 0 {
		v.faults.Add(path+".memory", "is negative")
	}
	switch s.Kind {
	case KindModel:
		v.modelService(path, s)
	case KindPlain:
		v.plainService(path, s)
	default:
		v.faults.Add(path+".kind", "want %q or %q, not %q", KindModel, KindPlain, s.Kind)
	}
}

func (v *validator) modelService(path string, s *Service) {
	if len(s.Operations) > 0 {
		v.faults.Add(path+".operations", "only plain services have operations")
	}
	i := slices.IndexFunc(v.d.Models, func(m Model) bool { return m.Name == s.Model })
	if i < 0 {
		v.faults.Add(path+".model", "no model is named %q", s.Model)
		return
	}
	if !slices.Contains(v.d.Models[i].Versions, s.Version) {
		v.faults.Add(path+".version", "model %q has no version %q", s.Model, s.Version)
	}
}

func (v *validator) plainService(path string, s *Service) {
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

func (v *validator) classes() {
	if len(v.d.Classes) == 0 && len(v.d.Origin) == 0 {
		v.faults.Add("$.classes", "want at least one class")
	}
	v.names("classes", len(v.d.Classes), func(i int) string { return string(v.d.Classes[i].Name) })
	for i, c := range v.d.Classes {
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

func (v *validator) tenants() {
	if len(v.d.Tenants) == 0 && len(v.d.Origin) == 0 {
		v.faults.Add("$.tenants", "want at least one tenant")
	}
	v.names("tenants", len(v.d.Tenants), func(i int) string { return string(v.d.Tenants[i].Name) })
	owner := map[string]int{}
	for i, t := range v.d.Tenants {
		path := fmt.Sprintf("$.tenants[%d]", i)
		v.limit(path+".limit", t.Limit)
		if t.Weight < 0 {
			v.faults.Add(path+".weight", "is negative")
		}
		for j, key := range t.Keys {
			if first, twice := owner[key]; twice || key == "" {
				v.faults.Add(fmt.Sprintf("%s.keys[%d]", path, j), "is empty or belongs to $.tenants[%d]", first)
				continue
			}
			owner[key] = i
		}
		for j, name := range t.Services {
			v.reference(fmt.Sprintf("%s.services[%d]", path, j), name)
		}
	}
}

func (v *validator) limit(path string, l TenantLimit) {
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

func (v *validator) reference(path string, name ident.ServiceID) {
	if _, ok := v.d.Service(name); !ok {
		v.faults.Add(path, "no service is named %q", name)
	}
}

func (v *validator) routes() {
	for i, r := range v.d.Routes {
		path := fmt.Sprintf("$.routes[%d]", i)
		if r.Model == "" {
			v.faults.Add(path+".model", "is empty")
		}
		if r.Tenant != "" {
			if _, ok := v.d.Tenant(r.Tenant); !ok {
				v.faults.Add(path+".tenant", "no tenant is named %q", r.Tenant)
			}
		}
		if r.Class != "" {
			if _, ok := v.d.Class(r.Class); !ok {
				v.faults.Add(path+".class", "no class is named %q", r.Class)
			}
		}
		v.routeService(path, r)
	}
}

func (v *validator) routeService(path string, r Route) {
	s, ok := v.d.Service(r.Service)
	if !ok {
		v.faults.Add(path+".service", "no service is named %q", r.Service)
		return
	}
	if s.Kind != KindModel {
		v.faults.Add(path+".service", "service %q is not a model service", r.Service)
		return
	}
	i := slices.IndexFunc(v.d.Models, func(m Model) bool { return m.Name == s.Model })
	if r.Adapter != "" && i >= 0 && !slices.Contains(v.d.Models[i].Adapters, r.Adapter) {
		v.faults.Add(path+".adapter", "model %q has no adapter %q", s.Model, r.Adapter)
	}
}

func (v *validator) engines() {
	v.names("engines", len(v.d.Engines), func(i int) string { return string(v.d.Engines[i].Name) })
	for i, e := range v.d.Engines {
		switch e.Role {
		case "", RoleMixed, RolePrefill, RoleDecode:
		default:
			v.faults.Add(fmt.Sprintf("$.engines[%d].role", i), "want mixed, prefill or decode, not %q", e.Role)
		}
	}
}
