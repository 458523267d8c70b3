// Package settings reads and validates the settings file of an instance.
//
// The file defines the instance's name, region, failure domain and addresses. The other instances
// are either listed as peers or found through seeds. Settings that name a data directory make
// the instance a voter.
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

// Settings is the content of a settings file.
type Settings struct {
	Instance ident.InstanceID `json:"instance"`
	Region   ident.RegionID   `json:"region"`
	Domain   ident.DomainID   `json:"domain"`
	// Callers is the listen address for callers; empty if the instance serves none.
	Callers string `json:"callers"`
	// Control is the listen address for operators, targets and the platform.
	Control string `json:"control"`
	Peer    string `json:"peer"` // listen address for other instances
	// Metrics is a further listen address that serves /metrics, besides Control.
	Metrics string `json:"metrics,omitempty"`
	Data    string `json:"data,omitempty"` // data directory; makes the instance a voter
	Peers   []Peer `json:"peers,omitempty"`
	// Seeds are control addresses through which the instance finds the voters, instead of listed
	// peers. They may change while the instance runs.
	Seeds []string `json:"seeds,omitempty"`
	// Bootstrap marks the first start of the whole system: the voters among the seeds found the
	// quorum.
	Bootstrap bool `json:"found,omitempty"`
	// Protocol selects the protocol of callers, targets and operators; empty means the native one.
	Protocol string `json:"wire,omitempty"`
	// Domains maps each failure domain to its region, for targets that report only their domain.
	Domains map[ident.DomainID]ident.RegionID `json:"domains,omitempty"`
	TLS     TLS                               `json:"tls,omitzero"`
	Limits  Limits                            `json:"limits,omitzero"`
	Routing Routing                           `json:"routing,omitzero"`
	Retries Retries                           `json:"retries,omitzero"`
	Timing  Timing                            `json:"timing,omitzero"`
	Log     Log                               `json:"log,omitzero"`
	// Provider is the provider that one instance at a time reports usage to and orders targets from. All instances
	// need the same settings.
	Provider Provider `json:"provider,omitzero"`
}

// Provider configures the duties of one instance at a time; see package duty.
type Provider struct {
	Address string  `json:"address,omitempty"` // empty if there are no duties
	Rate    float64 `json:"rate,omitempty"`    // calls a second that the provider takes from all instances together; 0 means no bound
	// Lease is the time within which the provider must not see two holders take turns.
	Lease desired.Duration `json:"lease,omitempty"`
	// Window is the length of the windows for which usage is reported; 0 means that none is.
	Window desired.Duration `json:"window,omitempty"`
	// Late is the time after the end of a window by which its report is due.
	Late desired.Duration `json:"late,omitempty"`
	// Capacity lets the leader order targets of the services whose capacity the document bounds.
	Capacity bool `json:"capacity,omitempty"`
	// Headroom is the number of targets for each that the demand needs; 0 means the planner's default.
	Headroom float64 `json:"headroom,omitempty"`
	Steady   int     `json:"steady,omitempty"` // targets in each domain that the provider may not reclaim
}

// ReportsUsage reports whether usage is counted and reported.
func (p *Provider) ReportsUsage() bool { return p.Address != "" && p.Window > 0 }

// Peer is another instance.
type Peer struct {
	Instance ident.InstanceID `json:"instance"`
	Address  string           `json:"address"`
	Voter    bool             `json:"voter,omitempty"`
}

// TLS names the certificate files for encrypted connections. An empty key pair means plain TCP.
type TLS struct {
	Callers KeyPair `json:"callers,omitzero"`
	Peers   KeyPair `json:"peers,omitzero"`
}

// KeyPair names the files of a certificate and its private key.
type KeyPair struct {
	Cert string `json:"cert,omitempty"`
	Key  string `json:"key,omitempty"`
	CA   string `json:"ca,omitempty"` // certificate authority of the other instances; for Peers only
}

// Set reports whether the key pair is configured.
func (k KeyPair) Set() bool { return k != KeyPair{} }

// Limits bounds the resources that the instance uses.
type Limits struct {
	Running int `json:"running,omitempty"` // requests in progress; 0 means DefaultRunning
	// Body is the longest request body in bytes; 0 means DefaultBody.
	Body ident.Bytes `json:"body,omitempty"`
	// Memory is the soft memory limit of the Go runtime in bytes; 0 means none.
	Memory ident.Bytes `json:"memory,omitempty"`
	// Unread is how much of each stream is read ahead while its caller reads slowly, in bytes, so that the target need not
	// wait for the caller; 0 means that nothing is. The kernel keeps about as much again; see Settings.KernelBuffer. Callers
	// are then given the time of their rule to read.
	Unread ident.Bytes `json:"unread,omitempty"`
}

// Defaults of Limits.
const (
	DefaultRunning             = 1024
	DefaultBody    ident.Bytes = 8 << 20
)

// Timing holds intervals and timeouts. Zero values mean the defaults.
type Timing struct {
	// Stop is the longest wait for requests in progress when stopping; 0 means no bound.
	Stop desired.Duration `json:"stop,omitempty"`
	Idle desired.Duration `json:"idle,omitempty"` // longest gap within a stream; 0 means DefaultIdle
	// Linger is the time for which a stopping instance still takes requests while its readiness
	// check fails, so that a load balancer can remove it first.
	Linger desired.Duration `json:"linger,omitempty"`
	// Grace is the time after which the platform kills a stopping process. It bounds the sum of
	// Stop and Linger.
	Grace desired.Duration `json:"grace,omitempty"`
	// Heartbeat is the interval of targets' announcements where their protocol names no lease. A
	// target's lease lasts heartbeatsPerLease of them.
	Heartbeat desired.Duration `json:"heartbeat,omitempty"`
	// Hold is the longest time for which a request waits for the instance's lease and first targets, after a start or
	// the loss of a lease; 0 means that it is refused at once.
	Hold desired.Duration `json:"hold,omitempty"`
	// OrderInterval is the minimum time between the orders of two instances to one engine, where
	// engines require one.
	OrderInterval desired.Duration `json:"orders,omitempty"`
	// ReconnectBound is the time within which an instance must be up to date again after a
	// partition. A target's lease is shorter than this.
	ReconnectBound desired.Duration `json:"contact,omitempty"`
}

// ProtocolPlatform is the protocol of the users' platform; see package platform.
const ProtocolPlatform = "platform"

// DefaultIdle is the default for the longest gap between two pieces of a stream.
const DefaultIdle = 10 * time.Second

// Routing configures the selection of targets.
type Routing struct {
	// CrossRegionCost is the routing cost, as a time, of sending a thousand prompt tokens to another
	// region; 0 means the router's default.
	CrossRegionCost desired.Duration `json:"cross,omitempty"`
	// Handover is the fixed part of the time to transfer a prompt's KV cache to another engine.
	Handover desired.Duration `json:"handover,omitempty"`
	// TransferTime is the time to transfer a thousand tokens of KV cache between engines.
	TransferTime desired.Duration `json:"move,omitempty"`
	// RecomputeCost is the routing cost, as a time, of processing a thousand cached tokens again at
	// another engine.
	RecomputeCost desired.Duration `json:"reread,omitempty"`
	// Share lets instances exchange their loads at engines, because engines do not report their
	// queues.
	Share bool `json:"share,omitempty"`
	// CacheLifetime is the time for which a prompt counts as cached after its last use; 0 means
	// until an event removes it.
	CacheLifetime desired.Duration `json:"keep,omitempty"`
	// Fetch means that engines can fetch KV cache from each other before they process a prompt.
	Fetch bool `json:"fetch,omitempty"`
	// Homes assigns shared prompts to home engines on which all instances agree.
	Homes bool `json:"homes,omitempty"`
	// Spread disables the reservation of engines for short prompts.
	Spread bool `json:"spread,omitempty"`
	// Failures lets instances also exchange which targets fail; it builds on Share. Earlier versions
	// ignore it.
	Failures bool `json:"failures,omitempty"`
	// Place lets one voter in each region, the placer, select engines for all instances there. It
	// needs Share. Earlier versions do not support its messages.
	Place bool `json:"place,omitempty"`
	// Stages lets the leader switch engines of forwarded services between the prefill role, which
	// only processes prompts, and the mixed role, which also generates answers. It needs Place.
	Stages bool `json:"stages,omitempty"`
	// Permits lets the leader grant permits for requests to targets that name a rate limit; see package
	// permit. Without it, limits are only observed. Earlier versions do not support its messages.
	Permits bool `json:"permits,omitempty"`
	// Facts lets instances share facts through the voters; see package fact. It is turned on when every
	// instance runs a version that supports them.
	Facts bool `json:"facts,omitempty"`
	// Learn lets instances estimate from the outcomes of requests how long engines take.
	Learn bool `json:"learn,omitempty"`
	// Speeds lets instances also learn the speed of each target, because those of a service differ.
	Speeds bool `json:"speeds,omitempty"`
	// Defer lets placers put requests that cannot be in time, or whose workspace has used more than its share, behind
	// others at engines, in place of refusing those that would wait. It has an effect where the document has workspaces
	// with keys, needs Place, and is turned on when every instance runs a version that supports it.
	Defer bool `json:"defer,omitempty"`
	// Prefill and Mixed are the rates, in prompt tokens per second, of engines in these roles that
	// report none. With Learn they are the initial estimates.
	Prefill ident.TokensPerSecond `json:"prefill,omitempty"`
	Mixed   ident.TokensPerSecond `json:"mixed,omitempty"`
}

// Retries bounds the retries of each service across all instances. Without a window, each instance
// has a separate budget.
type Retries struct {
	Ratio float64 `json:"ratio,omitempty"` // retries per request
	// Window is the length of the time window for the count: the ratio holds in every window of
	// this length.
	Window desired.Duration `json:"window,omitempty"`
	Slack  float64          `json:"slack,omitempty"` // retries allowed in addition to the ratio
}

// Log configures logging.
type Log struct {
	Level string `json:"level,omitempty"` // debug, info, warn or error
}

// Voter reports whether the instance is a voter, which keeps a replica of the log.
func (s *Settings) Voter() bool { return s.Data != "" }

// Voters returns the IDs of the listed voters, including this instance if it is one, sorted.
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

// RunningLimit returns the maximum number of requests in progress.
func (s *Settings) RunningLimit() int {
	if s.Limits.Running == 0 {
		return DefaultRunning
	}
	return s.Limits.Running
}

// BodyLimit returns the maximum length of a request body in bytes.
func (s *Settings) BodyLimit() ident.Bytes {
	if s.Limits.Body == 0 {
		return DefaultBody
	}
	return s.Limits.Body
}

// IdleLimit returns the longest gap between two pieces of a stream.
func (s *Settings) IdleLimit() time.Duration {
	if s.Timing.Idle == 0 {
		return DefaultIdle
	}
	return time.Duration(s.Timing.Idle)
}

// PathVariable is the environment variable with the path of the settings file. A flag overrides it.
const PathVariable = "HICKORYRIDGE_SETTINGS"

const (
	// heartbeatsPerLease is the length of a target's lease in heartbeats.
	heartbeatsPerLease = 3
	// maxLeaseFraction bounds a target's lease to this fraction of ReconnectBound.
	maxLeaseFraction = 0.9
	// maxStopFraction bounds the duration of a stop to this fraction of Grace, so that the process
	// ends before it is killed.
	maxStopFraction = 0.92
)

// TargetLease returns the lease of a target whose announcement names none.
func (s *Settings) TargetLease() time.Duration {
	if s.Timing.Heartbeat == 0 {
		return target.MaxLease
	}
	lease := heartbeatsPerLease * s.Timing.Heartbeat.AsDuration()
	if bound := s.Timing.ReconnectBound.AsDuration(); bound > 0 {
		lease = min(lease, time.Duration(maxLeaseFraction*float64(bound)))
	}
	return lease
}

// StopBound returns the longest wait for requests in progress when stopping, counted from the end
// of Linger; 0 means no bound.
func (s *Settings) StopBound() time.Duration {
	bound := s.Timing.Stop.AsDuration()
	if grace := s.Timing.Grace.AsDuration(); grace > 0 {
		left := max(time.Millisecond, time.Duration(maxStopFraction*float64(grace))-s.Timing.Linger.AsDuration())
		if bound == 0 || left < bound {
			bound = left
		}
	}
	return bound
}

// Load reads and validates a settings file. The settings are nil if there are faults. With lenient
// set, unknown fields are ignored: a file that another system writes may have fields that this
// version does not define.
func Load(path string, lenient bool) (*Settings, strictjson.Faults, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, fault.Wrap(fault.NotFound, err)
	}
	parse := Parse
	if lenient {
		parse = ParseLenient
	}
	s, faults := parse(data)
	return s, faults, nil
}

// ParseLenient decodes and validates settings and ignores unknown fields.
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

// Parse decodes and validates settings. Unknown fields are faults.
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
