package settings

import (
	"fmt"
	"net"
	"os"
	"slices"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/strictjson"
)

// validate returns all faults of decoded settings.
func (s *Settings) validate() strictjson.Faults {
	var fs strictjson.Faults
	required := []struct{ path, value string }{
		{"$.instance", string(s.Instance)}, {"$.region", string(s.Region)}, {"$.domain", string(s.Domain)},
	}
	for _, f := range required {
		if f.value == "" {
			fs.Add(f.path, "is missing")
		}
	}
	if s.Protocol != "" && s.Protocol != ProtocolPlatform {
		fs.Add("$.wire", "want empty or %q, not %q", ProtocolPlatform, s.Protocol)
	}
	s.validateAddresses(&fs)
	s.validatePeers(&fs)
	s.validateTLS(&fs)
	s.validateNumbers(&fs)
	s.validateProvider(&fs)
	if !slices.Contains([]string{"", "debug", "info", "warn", "error"}, s.Log.Level) {
		fs.Add("$.log.level", "want debug, info, warn or error, not %q", s.Log.Level)
	}
	return fs
}

func checkAddress(fs *strictjson.Faults, path, value string) {
	if _, _, err := net.SplitHostPort(value); err != nil {
		fs.Add(path, "want host:port, not %q", value)
	}
}

func (s *Settings) validatePeers(fs *strictjson.Faults) {
	seen := map[ident.InstanceID]bool{s.Instance: true}
	for i, p := range s.Peers {
		path := fmt.Sprintf("$.peers[%d]", i)
		if p.Instance == "" || seen[p.Instance] {
			fs.Add(path+".instance", "%q is empty, this instance or a duplicate", p.Instance)
		}
		seen[p.Instance] = true
		checkAddress(fs, path+".address", p.Address)
	}
	if len(s.Peers) > 0 && len(s.Seeds) > 0 {
		fs.Add("$.seeds", "must be empty when peers are listed")
	}
	if len(s.Seeds) == 0 && len(s.Voters()) == 0 {
		fs.Add("$.peers", "no instance is a voter: name a data directory or mark a peer as voter")
	}
}

func (s *Settings) validateTLS(fs *strictjson.Faults) {
	pairs := []struct {
		path string
		pair KeyPair
		ca   bool
	}{{"$.tls.callers", s.TLS.Callers, false}, {"$.tls.peers", s.TLS.Peers, true}}
	for _, p := range pairs {
		if !p.pair.Set() {
			continue
		}
		checkFile(fs, p.path+".cert", p.pair.Cert)
		checkFile(fs, p.path+".key", p.pair.Key)
		if p.ca {
			checkFile(fs, p.path+".ca", p.pair.CA)
		}
	}
}

func checkFile(fs *strictjson.Faults, path, name string) {
	if name == "" {
		fs.Add(path, "is missing")
		return
	}
	if _, err := os.Stat(name); err != nil {
		fs.Add(path, "%v", err)
	}
}

func (s *Settings) validateAddresses(fs *strictjson.Faults) {
	checkAddress(fs, "$.control", s.Control)
	checkAddress(fs, "$.peer", s.Peer)
	if s.Callers != "" || !s.Voter() {
		checkAddress(fs, "$.callers", s.Callers)
	}
	if s.Metrics != "" {
		checkAddress(fs, "$.metrics", s.Metrics)
	}
	for i, seed := range s.Seeds {
		checkAddress(fs, fmt.Sprintf("$.seeds[%d]", i), seed)
	}
}

func (s *Settings) validateNumbers(fs *strictjson.Faults) {
	if s.Routing.CrossRegionCost < 0 || s.Routing.Handover < 0 || s.Routing.TransferTime < 0 || s.Routing.RecomputeCost < 0 || s.Routing.Prefill < 0 || s.Routing.Mixed < 0 {
		fs.Add("$.routing", "cross, handover, move, reread, prefill or mixed is negative")
	}
	if s.Routing.Place && !s.Routing.Share {
		fs.Add("$.routing.place", "needs share: placers exchange their loads")
	}
	if s.Routing.Stages && !s.Routing.Place {
		fs.Add("$.routing.stages", "needs place: placers report the engines' work")
	}
	if s.Routing.Defer && !s.Routing.Place {
		fs.Add("$.routing.defer", "needs place: placers decide which requests are deferred")
	}
	t := s.Timing
	if t.Linger < 0 || t.Grace < 0 || t.Heartbeat < 0 || t.ReconnectBound < 0 || t.OrderInterval < 0 || t.Hold < 0 {
		fs.Add("$.timing", "linger, grace, heartbeat, contact, orders or hold is negative; want 0 or more")
	}
	if s.Limits.Unread < 0 {
		fs.Add("$.limits.unread", "is negative")
	}
	if s.Limits.Memory < 0 {
		fs.Add("$.limits.memory", "is negative")
	}
	if s.Retries.Ratio < 0 || s.Retries.Slack < 0 || s.Retries.Window < 0 {
		fs.Add("$.retries", "ratio, window or slack is negative")
	}
	if s.Limits.Running < 0 {
		fs.Add("$.limits.running", "is negative")
	}
	if s.Limits.Body < 0 {
		fs.Add("$.limits.body", "is negative")
	}
	if s.Timing.Stop < 0 || s.Timing.Idle < 0 {
		fs.Add("$.timing", "stop or idle is negative")
	}
}

func (s *Settings) validateProvider(fs *strictjson.Faults) {
	p := s.Provider
	if p.Address == "" {
		return
	}
	checkAddress(fs, "$.provider.address", p.Address)
	if p.Rate < 0 || p.Lease < 0 || p.Headroom < 0 || p.Steady < 0 {
		fs.Add("$.provider", "rate, lease, headroom or steady is negative")
	}
	if p.Headroom > 0 && p.Headroom < 1 {
		fs.Add("$.provider.headroom", "want 1 or more, not %v: fewer targets than the demand needs", p.Headroom)
	}
	if p.Window < 0 || p.Window > 0 && p.Window.AsDuration() < time.Second {
		fs.Add("$.provider.window", "want 1s or more, not %v", p.Window.AsDuration())
	}
	if p.Window > 0 && p.Late.AsDuration() < minReportTime {
		fs.Add("$.provider.late", "want %v or more, not %v: counts are handed over and decided first", minReportTime, p.Late.AsDuration())
	}
	if p.Capacity && !s.Routing.Stages {
		fs.Add("$.provider.capacity", "needs routing.stages: placers report the engines' work")
	}
}

// minReportTime is the least time between the end of a window and the time at which its report is due.
const minReportTime = 2 * time.Second
