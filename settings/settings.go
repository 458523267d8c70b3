// Package settings reads and checks the settings file of an instance.
//
// An instance learns its name, region, failure domain and every address from this
// file; nothing is discovered. Settings that name a data folder make the instance
// a voter.
package settings

import (
	"encoding/json"
	"os"
	"slices"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/strictjson"
	"github.com/hickoryridge/hickoryridge/target"
)

// Settings is the whole settings file.
type Settings struct {
	Instance ident.InstanceID `json:"instance"`
	Region   ident.RegionID   `json:"region"`
	Domain   ident.DomainID   `json:"domain"`
	Callers  string           `json:"callers"`           // address for callers; empty if the instance serves none
	Control  string           `json:"control"`           // address for operators, targets and the platform
	Peer     string           `json:"peer"`              // address for other instances
	Metrics  string           `json:"metrics,omitempty"` // address that serves /metrics beside control
	Data     string           `json:"data,omitempty"`    // data folder; makes the instance a voter
	Peers    []Peer           `json:"peers,omitempty"`
	// Seeds are control addresses through which an instance finds the voters, in place
	// of listed peers. They may change while it runs.
	Seeds []string `json:"seeds,omitempty"`
	// Bootstrap tells that the whole system starts for the first time: the voters among the
	// seeds found the quorum.
	Bootstrap bool `json:"found,omitempty"`
	// Protocol names the protocol of callers, targets and operators; empty means the
	// project's own.
	Protocol string `json:"wire,omitempty"`
	// Domains gives the region of each failure domain, for targets that tell their
	// domain only.
	Domains map[ident.DomainID]ident.RegionID `json:"domains,omitempty"`
	TLS     TLS                               `json:"tls,omitzero"`
	Limits  Limits                            `json:"limits,omitzero"`
	Routing Routing                           `json:"routing,omitzero"`
	Retries Retries                           `json:"retries,omitzero"`
	Timing  Timing                            `json:"timing,omitzero"`
	Log     Log                               `json:"log,omitzero"`
}

// Peer is another instance.
type Peer struct {
	Instance ident.InstanceID `json:"instance"`
	Address  string           `json:"address"`
	Voter    bool             `json:"voter,omitempty"`
}

// TLS names the files for encrypted connections. Empty fields mean plain TCP.
type TLS struct {
	Callers KeyPair `json:"callers,omitzero"`
	Peers   KeyPair `json:"peers,omitzero"`
}

// KeyPair names the files of a certificate.
type KeyPair struct {
	Cert string `json:"cert,omitempty"`
	Key  string `json:"key,omitempty"`
	CA   string `json:"ca,omitempty"` // between instances: who signs the others' certificates
}

// Set reports whether the key pair is configured.
func (k KeyPair) Set() bool { return k != KeyPair{} }

// Limits bounds what the instance takes on.
type Limits struct {
	Running int         `json:"running,omitempty"` // requests in progress; 0 means DefaultRunning
	Body    ident.Bytes `json:"body,omitempty"`    // longest request body; 0 means DefaultBody
	Memory  ident.Bytes `json:"memory,omitempty"`  // memory that the runtime tries to stay within; 0 means no bound
}

// Defaults of Limits.
const (
	DefaultRunning             = 1024
	DefaultBody    ident.Bytes = 8 << 20
)

// Timing changes the intervals of the coordination. Zero values mean the defaults.
type Timing struct {
	Stop desired.Duration `json:"stop,omitempty"` // longest wait for requests in progress at a stop; 0 means no bound
	Idle desired.Duration `json:"idle,omitempty"` // longest silence within a stream; 0 means DefaultIdle
	// Linger is how long a stopping instance still takes requests while it says that it is
	// not ready, so that a balancer can take it out first.
	Linger desired.Duration `json:"linger,omitempty"`
	// Grace is the time that a stopping process has before it is killed; it bounds Stop and
	// Linger together.
	Grace desired.Duration `json:"grace,omitempty"`
	// Heartbeat is the interval of targets' announcements, where their protocol has no
	// lease of its own. A target counts as there for a few of them.
	Heartbeat desired.Duration `json:"heartbeat,omitempty"`
	// OrderInterval is the least time between the orders of two instances to one engine, where engines ask for one.
	OrderInterval desired.Duration `json:"orders,omitempty"`
	// ReconnectBound is the time after which an instance that was cut off has to know everything
	// again. No target counts as there for as long without an announcement.
	ReconnectBound desired.Duration `json:"contact,omitempty"`
}

// ProtocolPlatform is the users' platform; see package platform.
const ProtocolPlatform = "platform"

// DefaultIdle is the longest silence within a stream.
const DefaultIdle = 10 * time.Second

// Routing tells what the choice of a target weighs.
type Routing struct {
	// CrossRegionCost is the time that a thousand prompt tokens carried to another region are
	// worth; 0 means the router's default.
	CrossRegionCost desired.Duration `json:"cross,omitempty"`
	Handover        desired.Duration `json:"handover,omitempty"` // fixed time of moving a prompt's KV cache to another engine
	TransferTime    desired.Duration `json:"move,omitempty"`     // of a thousand tokens of KV cache between engines
	RecomputeCost   desired.Duration `json:"reread,omitempty"`   // what a thousand tokens are worth that are processed again at another engine
	Share           bool             `json:"share,omitempty"`    // instances tell each other what they have at engines, which report no queues
	CacheLifetime   desired.Duration `json:"keep,omitempty"`     // for which a prompt counts as cached after its last use; 0 means until an event ends it
	Fetch           bool             `json:"fetch,omitempty"`    // engines can get KV cache from each other before they process a prompt
	Homes           bool             `json:"homes,omitempty"`    // shared prompts have homes that all instances agree on
	Spread          bool             `json:"spread,omitempty"`   // no engine is reserved for short prompts
	// Failures lets instances tell each other which targets fail, on top of Share. Versions before this one do not
	// read it.
	Failures bool `json:"failures,omitempty"`
	// Place lets one voter of each region choose engines for all instances there. Versions before this one do not
	// understand the messages.
	Place bool `json:"place,omitempty"`
	// Stages lets the leader change engines of forwarded services between processing prompts only and generating
	// answers, on top of Place.
	Stages bool `json:"stages,omitempty"`
	// Learn lets instances learn from outcomes how long engines take.
	Learn bool `json:"learn,omitempty"`
	// Prefill and Mixed are the rates of engines of these roles that report none, in
	// prompt tokens a second; where instances learn, the first guesses.
	Prefill ident.TokensPerSecond `json:"prefill,omitempty"`
	Mixed   ident.TokensPerSecond `json:"mixed,omitempty"`
}

// Retries bounds the retries of each service over all instances. Without a window every
// instance has a budget of its own.
type Retries struct {
	Ratio  float64          `json:"ratio,omitempty"`  // retries for each request
	Window desired.Duration `json:"window,omitempty"` // any span of this length counts
	Slack  int              `json:"slack,omitempty"`  // retries beyond the ratio
}

// Log sets the log.
type Log struct {
	Level string `json:"level,omitempty"` // debug, info, warn or error
}

// Voter reports whether the instance keeps a replica of the log.
func (s *Settings) Voter() bool { return s.Data != "" }

// Voters returns the ids of all voters in order.
func (s *Settings) Voters() []ident.InstanceID {
	var ids []ident.InstanceID
	if s.Voter() {
		ids = append(ids, s.Instance)
	}
	for _, p := range s.Peers {
		if p.Voter {
			ids = append(ids, p.Instance)
		}
	}
	slices.Sort(ids)
	return ids
}

// RunningLimit returns the bound on requests in progress.
func (s *Settings) RunningLimit() int {
	if s.Limits.Running == 0 {
		return DefaultRunning
	}
	return s.Limits.Running
}

// BodyLimit returns the bound on a request's body.
func (s *Settings) BodyLimit() ident.Bytes {
	if s.Limits.Body == 0 {
		return DefaultBody
	}
	return s.Limits.Body
}

// IdleLimit returns the bound on the silence within a stream.
func (s *Settings) IdleLimit() time.Duration {
	if s.Timing.Idle == 0 {
		return DefaultIdle
	}
	return time.Duration(s.Timing.Idle)
}

// PathVariable is the environment variable that names the settings file where no flag does.
const PathVariable = "HICKORYRIDGE_SETTINGS"

const (
	// leaseBeats is the number of heartbeats for which a target counts as there.
	leaseBeats = 3
	// contactPart is the part of Contact for which it does so at most.
	contactPart = 0.9
	// gracePart is the part of Grace that a stop takes at most.
	gracePart = 0.92
)

// TargetLease returns how long a target counts as there after an announcement that
// names no lease.
func (s *Settings) TargetLease() time.Duration {
	if s.Timing.Heartbeat == 0 {
		return target.MaxLease
	}
	lease := leaseBeats * s.Timing.Heartbeat.AsDuration()
	if contact := s.Timing.ReconnectBound.AsDuration(); contact > 0 {
		lease = min(lease, time.Duration(contactPart*float64(contact)))
	}
	return lease
}

// StopBound returns the longest wait for requests in progress at a stop, after the time
// for which new ones are still taken; 0 means no bound.
func (s *Settings) StopBound() time.Duration {
	bound := s.Timing.Stop.AsDuration()
	if grace := s.Timing.Grace.AsDuration(); grace > 0 {
		left := max(time.Millisecond, time.Duration(gracePart*float64(grace))-s.Timing.Linger.AsDuration())
		if bound == 0 || left < bound {
			bound = left
		}
	}
	return bound
}

// Load reads a settings file. The faults are empty if it can be used. A file that
// someone else fills in may have fields that this version does not know.
func Load(path string, foreign bool) (*Settings, strictjson.Faults, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, fault.Wrap(fault.NotFound, err)
	}
	parse := Parse
	if foreign {
		parse = ParseLenient
	}
	s, faults := parse(data)
	return s, faults, nil
}

// ParseLenient decodes and validates settings that may have unknown fields.
func ParseLenient(data []byte) (*Settings, strictjson.Faults) {
	var s Settings
	var fs strictjson.Faults
	if err := json.Unmarshal(data, &s); err != nil {
		fs.Add(strictjson.Root, "%v", err)
		return nil, fs
	}
	if fs := s.validate(); len(fs) > 0 {
		return nil, fs
	}
	return &s, nil
}

// Parse decodes and validates settings.
func Parse(data []byte) (*Settings, strictjson.Faults) {
	var s Settings
	if fs := strictjson.Decode(data, &s); len(fs) > 0 {
		return nil, fs
	}
	if fs := s.validate(); len(fs) > 0 {
		return nil, fs
	}
	return &s, nil
}
