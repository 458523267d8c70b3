package instance

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/caller"
	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/caller/http1"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/cluster/seed"
	"github.com/hickoryridge/hickoryridge/internal/net/cert"
	"github.com/hickoryridge/hickoryridge/internal/task"
	"github.com/hickoryridge/hickoryridge/operator"
	"github.com/hickoryridge/hickoryridge/platform"
	"github.com/hickoryridge/hickoryridge/settings"
	"github.com/hickoryridge/hickoryridge/target"
)

// Limits of the HTTP servers.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second
	// controlIdleTimeout closes idle connections to the control address. It is longer than the
	// interval of targets' announcements, and short enough that targets which switch to another
	// instance leave no connections behind.
	controlIdleTimeout = 5 * time.Second
	maxHeaderBytes     = 64 << 10
	shutdownTimeout    = 5 * time.Second
)

func (in *Instance) serveCallers(ctx context.Context) error {
	l := in.listeners.callers
	guard := http1.NewGuard(in.connectionLimits, in.requestMemory)
	server := &http.Server{Handler: in.callerHandler(), MaxHeaderBytes: desired.MaxHeaderBytes}
	l = guard.Listener(l)
	if in.callerCert != nil {
		l = tls.NewListener(l, in.callerCert.CallerConfig())
	}
	return in.serve(ctx, l, server, guard)
}

// callerLimits returns this instance's limits for callers. They apply where the document sets none.
func (in *Instance) callerLimits() desired.RequestLimits {
	return desired.RequestLimits{
		Header: maxHeaderBytes, Body: in.settings.BodyLimit(), HeaderTimeout: desired.Duration(headerTimeout), IdleTimeout: desired.Duration(idleTimeout),
	}
}

// connectionLimits returns the current limits for callers' connections.
func (in *Instance) connectionLimits() http1.Limits {
	limits := in.callerLimits()
	if current := in.gate.Latest(); current != nil && current.Document != nil {
		limits = current.Document.Limits.WithDefaults(limits)
	}
	return http1.Limits{HeaderTimeout: limits.HeaderTimeout.AsDuration(), IdleTimeout: limits.IdleTimeout.AsDuration()}
}

// callerHandler returns the handler for the callers' protocol that the settings select.
func (in *Instance) callerHandler() http.Handler {
	if in.settings.Protocol == settings.ProtocolPlatform {
		return &platform.CallerHandler{Gate: in.gate, Dispatcher: in.dispatcher, DefaultLimits: in.callerLimits(), Log: in.log}
	}
	r := chi.NewRouter()
	in.health().Mount(r)
	caller.New(caller.Config{
		Gate: in.gate, Dispatcher: in.dispatcher, Receipts: in.leader,
		Limits: in.callerLimits(), Log: in.log,
	}).Mount(r)
	return r
}

func (in *Instance) serveControl(ctx context.Context) error {
	r := chi.NewRouter()
	in.health().Mount(r)
	r.Method(http.MethodGet, "/metrics", in.metrics.Handler())
	cfg := operator.Config{Leader: in.leader, Targets: in.targetPool.Records, Limits: in.targetPool.Limits, Speeds: in.targetPool.Speeds, Local: in.localStatus, Log: in.log}
	if in.factClient != nil {
		cfg.Parts = in.factClient.facts
	}
	operator.New(cfg).Mount(r)
	target.NewAnnounceHandler(func(a target.Announcement) { in.targetPool.Announce(clock.Now(), a) }).Mount(r)
	seed.Mount(r, in.seedInfo)
	if in.settings.Protocol == settings.ProtocolPlatform {
		in.mountPlatform(r)
	}
	return in.serveInternal(ctx, in.listeners.control, r)
}

func (in *Instance) serveMetrics(ctx context.Context) error {
	r := chi.NewRouter()
	r.Method(http.MethodGet, "/metrics", in.metrics.Handler())
	return in.serveInternal(ctx, in.listeners.metrics, r)
}

// mountPlatform adds the endpoints that targets and operators of the outside platform call; see
// package platform.
func (in *Instance) mountPlatform(r chi.Router) {
	as := &platform.AnnouncementHandler{
		Domains: in.settings.Domains, Lease: in.settings.TargetLease(), Versions: in.settings.Routing.Facts, Log: in.log,
		PrefillRates: map[desired.Role]ident.TokensPerSecond{
			desired.RolePrefill: in.settings.Routing.Prefill, desired.RoleMixed: in.settings.Routing.Mixed,
		},
		Accept: in.handleAnnouncement,
		Leave:  in.handleLeave,
	}
	as.Mount(r)
	(&platform.OperatorHandler{Leader: in.leader, Log: in.log}).Mount(r)
}

// checkLeaderContact returns a fault.NoQuorum error if this instance's voter has no contact with a
// leader. Other instances may then not receive what a target reports here, so the target should use
// another instance.
func (in *Instance) checkLeaderContact() error {
	if in.voter == nil {
		return nil
	}
	if node := in.voter.node.Load(); node == nil || node.Status().Leader.ID == "" {
		return fault.WithRan(fault.New(fault.NoQuorum, "this voter has no contact with a leader"), fault.RanNo)
	}
	return nil
}

// handleLeave records that a target leaves.
func (in *Instance) handleLeave(id ident.TargetID, incarnation ident.Incarnation) error {
	if err := in.checkLeaderContact(); err != nil {
		return err
	}
	in.targetPool.Deregister(clock.Now(), id, incarnation)
	return nil
}

// handleAnnouncement records a target's announcement and logs changes.
func (in *Instance) handleAnnouncement(a target.Announcement) error {
	// A target's presence may be recorded without contact to a leader, so that others receive it as
	// soon as there is one. Its leaving is acknowledged only where others will receive it.
	if err := in.checkLeaderContact(); err != nil && a.Leaving {
		return err
	}
	old, known := in.targetPool.Record(a.Target)
	in.targetPool.Announce(clock.Now(), a)
	if r, _ := in.targetPool.Record(a.Target); r.Departure() {
		in.logOutdated(a, r)
		return nil
	}
	if known && old.Incarnation == a.Incarnation && old.Leaving == a.Leaving && old.Address == a.Address && old.Software == a.Software && roleOf(old.Engine) == roleOf(a.Engine) {
		return nil
	}
	in.log.WithFields(logrus.Fields{
		"event": "target_changed", "target": a.Target, "service": a.Service, "address": a.Address, "start": a.Incarnation,
		"sequence": a.Sequence, "leaving": a.Leaving, "role": roleOf(a.Engine), "software": a.Software,
	}).Info("target announced a change")
	return nil
}

// logOutdated logs an announcement that has no effect because the target has left. Targets that leave go on to announce that.
func (in *Instance) logOutdated(a target.Announcement, left target.Record) {
	if a.Leaving {
		return
	}
	in.log.WithFields(logrus.Fields{
		"event": "announcement_outdated", "target": a.Target, "start": a.Incarnation, "sequence": a.Sequence, "left": left.Incarnation,
	}).Info("an announcement arrived from a target that has left; it has no effect")
}

func roleOf(e *target.EngineReport) desired.Role {
	if e == nil {
		return ""
	}
	return e.Role
}

func (in *Instance) health() *platform.Health {
	return platform.NewHealth(func() error {
		if in.stages.isLeaving() {
			return fault.New(fault.Draining, "this instance is stopping")
		}
		_, err := in.gate.Admit(clock.Now())
		return err
	})
}

// localStatus returns the part of the status that needs no request to the leader.
func (in *Instance) localStatus() operator.LocalStatus {
	running, waiting := in.dispatcher.Load()
	s := operator.LocalStatus{
		Instance: in.settings.Instance, Version: in.gate.Version(), Running: running, Waiting: waiting,
		Voter: in.voter != nil, Pending: in.receipts.Pending(),
	}
	if c := in.gate.Latest(); c != nil {
		s.Number = c.Number
	}
	if _, err := in.gate.Admit(clock.Now()); err != nil {
		s.Closed = err.Error()
	}
	if in.voter == nil {
		return s
	}
	if node := in.voter.node.Load(); node != nil {
		st := node.Status()
		s.Role, s.Term, s.Leader = st.Role.String(), uint64(st.Term), st.Leader.ID
		s.DiskRejected = node.DiskRejected()
	} else {
		s.Role = in.voter.stateName()
	}
	return s
}

// serveInternal serves operators, targets and metrics collectors.
func (in *Instance) serveInternal(ctx context.Context, l net.Listener, h http.Handler) error {
	guard := http1.NewGuard(func() http1.Limits {
		return http1.Limits{HeaderTimeout: headerTimeout, IdleTimeout: controlIdleTimeout}
	}, in.requestMemory)
	return in.serve(ctx, guard.Listener(l), &http.Server{Handler: h, MaxHeaderBytes: maxHeaderBytes}, guard)
}

// serve serves HTTP on l, whose connections the guard monitors, until ctx ends. The connections end as the
// instance stops; see package http1. At the end, requests in progress have shutdownTimeout.
func (in *Instance) serve(ctx context.Context, l net.Listener, server *http.Server, guard *http1.Guard) error {
	guard.Attach(server)
	server.BaseContext = func(net.Listener) context.Context { return in.requests }
	g := task.New(ctx)
	g.Go("stages", func(ctx context.Context) error {
		for _, s := range []struct {
			entered <-chan struct{}
			end     func()
		}{{in.stages.leaving, guard.Leave}, {in.stages.closed, guard.CloseIdle}} {
			select {
			case <-ctx.Done():
				return nil
			case <-s.entered:
				s.end()
			}
		}
		return nil
	})
	g.Go("serve", func(ctx context.Context) error {
		if err := server.Serve(l); ctx.Err() == nil {
			return err
		}
		return nil
	})
	g.Go("shutdown", func(ctx context.Context) error {
		<-ctx.Done()
		_ = l.Close() // ends serve; an error means that it was closed before
		bound, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if err := guard.Close(bound); err != nil {
			in.log.WithField("event", "connections_cut").Warn("requests were still in progress at the end of the shutdown timeout")
		}
		_ = server.Close() // the listener has been closed
		return nil
	})
	return g.Wait()
}

// loadTLS loads the certificates that the settings name.
func (in *Instance) loadTLS() error {
	for _, l := range []struct {
		pair settings.KeyPair
		into **cert.Reloader
	}{{in.settings.TLS.Callers, &in.callerCert}, {in.settings.TLS.Peers, &in.peerCert}} {
		if !l.pair.Set() {
			continue
		}
		k, err := cert.New(cert.Files{Cert: l.pair.Cert, Key: l.pair.Key, CA: l.pair.CA}, in.log)
		if err != nil {
			return err
		}
		*l.into = k
	}
	return nil
}

// peerTLS returns the TLS configuration of connections between instances, nil for plain TCP.
func (in *Instance) peerTLS() *tls.Config {
	if in.peerCert == nil {
		return nil
	}
	return in.peerCert.PeerConfig()
}
