package dispatch

import (
	"context"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/caller/key"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// Load pattern: keys come and go while requests wait, are placed, fail and are sent again. Whom a request is
// for is decided by the document in force as it arrives, and once more whenever it is about to be sent
// to a target; see docs/design/keys.md.

// tenantKeys are the API keys of a document's tenants.
type tenantKeys struct {
	index  key.Index // the holder of a key is the position of its tenant
	keyed  []bool    // by the position of a tenant: it has keys
	needed bool      // also by tenants without keys
}

// takeKeys returns the keys of a document and removes them from it, together with the text that the operator
// wrote: instances that serve need no key, only digests.
func takeKeys(doc *desired.Document) tenantKeys {
	ks := tenantKeys{keyed: make([]bool, len(doc.Tenants)), needed: doc.Keyed}
	for i := range doc.Tenants {
		t := &doc.Tenants[i]
		ks.keyed[i] = len(t.Keys) > 0
		for _, k := range t.Keys {
			ks.index.Add(k, i)
		}
		t.Keys = nil
	}
	doc.Origin = nil
	return ks
}

// needs reports whether callers of the tenant at position i must prove by a key who they are.
func (ks *tenantKeys) needs(i int) bool { return ks.needed || i >= len(ks.keyed) || ks.keyed[i] }

// tenantByKey returns the tenant that holds an API key.
func (c *ActiveConfig) tenantByKey(d key.Digest) (*desired.Tenant, bool) {
	i, ok := c.keys.index.Find(d)
	if !ok {
		return nil, false
	}
	return &c.Document.Tenants[i], true
}

// Caller is whom a forwarded request is for. The zero value is a caller whom nobody asked for a key.
type Caller struct {
	Workspace ident.TenantID // empty if no key was needed
	keyed     bool           // the workspace was found by an API key
	key       key.Digest
	priority  *int // of the workspace
}

// identify finds the caller of a request with the given API key. It returns a fault.Unauthorized error if the rule
// needs a key and the document does not have it.
func (c *ActiveConfig) identify(rule *desired.ForwardRule, apiKey string) (Caller, error) {
	if !c.Document.Keyed || rule.Public {
		return Caller{}, nil
	}
	if apiKey == "" {
		return Caller{}, fault.New(fault.Unauthorized, "the request has no API key")
	}
	_, by, err := c.byKey(apiKey)
	return by, err
}

// authenticate finds the tenant of a request of the own interface. A tenant without keys may be named instead.
func (c *ActiveConfig) authenticate(apiKey string, named ident.TenantID) (*desired.Tenant, Caller, error) {
	if apiKey != "" {
		return c.byKey(apiKey)
	}
	for i := range c.Document.Tenants {
		t := &c.Document.Tenants[i]
		if t.Name == named && !c.keys.needs(i) {
			return t, Caller{Workspace: t.Name, priority: t.Priority}, nil
		}
	}
	return nil, Caller{}, fault.New(fault.Unauthorized, "the request has no API key, and names no tenant without keys")
}

// byKey finds the tenant that holds an API key.
func (c *ActiveConfig) byKey(apiKey string) (*desired.Tenant, Caller, error) {
	d := key.DigestOf(apiKey)
	t, ok := c.tenantByKey(d)
	if !ok {
		return nil, Caller{}, fault.New(fault.Unauthorized, "unknown API key")
	}
	return t, Caller{Workspace: t.Name, keyed: true, key: d, priority: t.Priority}, nil
}

// holds reports whether a caller's key is still that of its workspace.
func (c *ActiveConfig) holds(by Caller) bool {
	t, ok := c.tenantByKey(by.key)
	return ok && t.Name == by.Workspace
}

// ConfigConfirmer makes sure that an instance has the newest document.
type ConfigConfirmer interface {
	// Confirm returns once every document that was acknowledged before the call has been applied, or an error
	// if the leader did not reply in time.
	Confirm(ctx context.Context) error
}

// Admission is what the configuration in force says about a forwarded request.
type Admission struct {
	Config *ActiveConfig
	Rule   *desired.ForwardRule
	Caller Caller
}

// AdmitForward finds the rule and the caller of a request that arrives now, from its host, path and API key, which is
// empty if it has none. Besides the errors of Gate.Admit it returns fault.NotFound without a rule and
// fault.Unauthorized without a valid key. budget is the time that the caller waits, 0 if that is unknown.
func (d *Dispatcher) AdmitForward(ctx context.Context, host, path, apiKey string, budget time.Duration) (a Admission, err error) {
	if _, err := d.cfg.Gate.Admit(clock.Now()); mayAwait(err) {
		d.awaitLease(ctx, budget)
	}
	err = d.withNewestKeys(ctx, apiKey, func() (*ActiveConfig, error) {
		if a.Config, err = d.cfg.Gate.Admit(clock.Now()); err != nil {
			return nil, err
		}
		var ok bool
		if a.Rule, ok = a.Config.Document.ForwardRule(host, path); !ok {
			return a.Config, fault.New(fault.NotFound, "no route matches host and path")
		}
		a.Caller, err = a.Config.identify(a.Rule, apiKey)
		return a.Config, err
	})
	return a, err
}

// AdmitTenant finds the tenant of a request of the own interface, from its API key or, if that is empty, from the
// tenant that it names. Its errors are those of Gate.Admit, and fault.Unauthorized.
func (d *Dispatcher) AdmitTenant(ctx context.Context, apiKey string, named ident.TenantID) (cfg *ActiveConfig, t *desired.Tenant, by Caller, err error) {
	err = d.withNewestKeys(ctx, apiKey, func() (*ActiveConfig, error) {
		if cfg, err = d.cfg.Gate.Admit(clock.Now()); err != nil {
			return nil, err
		}
		t, by, err = cfg.authenticate(apiKey, named)
		return cfg, err
	})
	return cfg, t, by, err
}

// withNewestKeys calls admit, which checks an API key against the present configuration. If that does not have the
// key, admit is called again under each newer configuration, until the newest one is sure to be in force:
// a key may have been acknowledged before the request came, and callers do not come back after a refusal.
func (d *Dispatcher) withNewestKeys(ctx context.Context, apiKey string, admit func() (*ActiveConfig, error)) error {
	cfg, err := admit()
	if apiKey == "" || !fault.Is(err, fault.Unauthorized) || d.cfg.Confirmer == nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	confirmed := make(chan error, 1)
	go func() { confirmed <- d.cfg.Confirmer.Confirm(ctx) }()
	for fault.Is(err, fault.Unauthorized) {
		select {
		case <-d.cfg.Gate.Changed(cfg.Version):
			cfg, err = admit()
		case failed := <-confirmed:
			if failed != nil {
				failed = fault.New(fault.ConfigLapsed, "unknown API key, and the newest configuration could not be read: %v", failed)
				return fault.WithRan(failed, fault.RanNo)
			}
			if _, err = admit(); fault.Is(err, fault.Unauthorized) {
				d.cfg.Metrics.Count("keys_unknown")
			}
			return err
		}
	}
	return err
}

// checkCaller returns an error if a request may not be sent to a target now, because the caller's key has been taken away
// since it was admitted under cfg, or because the instance cannot tell.
func (d *Dispatcher) checkCaller(cfg *ActiveConfig, by Caller) error {
	if !by.keyed {
		return nil
	}
	current, err := d.cfg.Gate.InForce(clock.Now())
	if err != nil {
		return fault.WithRan(err, fault.RanNo)
	}
	if current == cfg || current.holds(by) {
		return nil
	}
	d.cfg.Metrics.Count("keys_revoked_waiting")
	return fault.New(fault.Unauthorized, "the API key was taken away while the request waited")
}

// checkSend is checkCaller for a request that is about to be sent to its target. It withdraws the assignment if the request
// may not be sent.
func (d *Dispatcher) checkSend(a *Assignment, cfg *ActiveConfig, by Caller) error {
	err := d.checkCaller(cfg, by)
	if err != nil {
		a.Withdraw()
	}
	return err
}

// checkSend checks the key of a forwarded request before each time that it is sent.
func (r *forwardRun) checkSend(a *Assignment) error {
	return r.d.checkSend(a, r.req.Config, r.req.Caller)
}

// UsageCounter counts the requests of workspaces that began at targets. Implementations are safe for concurrent use.
type UsageCounter interface {
	// Began counts a request that began at a time.
	Began(at clock.Time, workspace ident.TenantID)
}

// countBegun counts the request as begun at a target, for its workspace.
func (r *forwardRun) countBegun(at clock.Time) {
	if w := r.req.Caller.Workspace; w != "" && r.d.cfg.Usage != nil {
		r.d.cfg.Usage.Began(at, w)
	}
}
