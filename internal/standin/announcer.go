package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/target"
)

const (
	announceInterval = 400 * time.Millisecond
	announceTimeout  = 1 * time.Second
	announceLease    = 2 * time.Second
)

// Announcer announces a target to instances: the target's address and load, under a lease
// that each announcement renews.
type Announcer struct {
	Target      ident.TargetID
	Service     ident.ServiceID
	Address     string
	Region      ident.RegionID
	Domain      ident.DomainID
	Incarnation ident.Incarnation
	Controls    []string // control addresses of the instances
	Engine      *Engine  // nil for a plain service
	Plain       *Service // a service that requests may crash; nil if there is none

	sequence    atomic.Uint64
	nextControl int
}

// Run announces the target at a fixed interval until ctx ends. Then it announces that the
// target leaves.
func (a *Announcer) Run(ctx context.Context) {
	if len(a.Controls) == 0 {
		return
	}
	// The hash spreads targets over instances.
	a.nextControl = int(xxhash.Sum64String(string(a.Target)) % uint64(len(a.Controls)))
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		a.announceOnce(ctx)
		select {
		case <-ctx.Done():
			a.AnnounceLeave()
			return
		case <-ticker.C:
		}
	}
}

// announcement returns the next announcement in sequence.
func (a *Announcer) announcement(leaving bool) target.Announcement {
	m := target.Announcement{
		Target: a.Target, Service: a.Service, Address: a.Address, Region: a.Region, Domain: a.Domain,
		Incarnation: a.Incarnation, Sequence: a.sequence.Add(1),
		Lease: desired.Duration(announceLease), Leaving: leaving,
	}
	if a.Engine != nil {
		m.Load, m.Engine, m.Cache = a.Engine.Report()
		m.Software = a.Engine.cfg.Software
	}
	if a.Plain != nil {
		crashes, _ := a.Plain.Crashes()
		m.Incarnation += ident.Incarnation(crashes)
	}
	return m
}

// announceOnce sends an announcement to one instance, unless the target is down. If that fails, it tries the others
// in turn and stays with the one that accepts it.
func (a *Announcer) announceOnce(ctx context.Context) {
	if a.Plain != nil {
		if _, down := a.Plain.Crashes(); down {
			return
		}
	}
	m := a.announcement(false)
	for range a.Controls {
		if a.post(ctx, a.Controls[a.nextControl%len(a.Controls)], m) == nil {
			return
		}
		a.nextControl++
	}
}

// AnnounceLeave announces to every instance that the target takes no new requests.
func (a *Announcer) AnnounceLeave() {
	m := a.announcement(true)
	for _, c := range a.Controls {
		_ = a.post(context.Background(), c, m) // on failure, the target's lease lapses
	}
}

// post sends an announcement to one instance.
func (a *Announcer) post(ctx context.Context, control string, m target.Announcement) error {
	data, err := json.Marshal(m)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	return post(ctx, control, "/v1/announce", data, http.StatusNoContent)
}

// post sends an HTTP POST request and returns an error unless the response has the status
// want.
func post(ctx context.Context, addr, path string, body []byte, want int) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }() // only the status matters
	if resp.StatusCode != want {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
		return fmt.Errorf("%s at %s: status %d: %s", path, addr, resp.StatusCode, text)
	}
	return nil
}
