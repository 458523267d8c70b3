package router

import (
	"testing"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/ident"
)

// newSoftwareRouter returns a router with two engines of each of two software versions, the first of
// each in this region. The prompt is cached at the first engine of v1 whole and at the first of v2 in part.
func newSoftwareRouter() (*Router, []uint64) {
	r := New(Config{Region: "here", Links: DefaultLinks(), Seed: 1, KVFetch: true, NoReservedEngine: true})
	for id, software := range map[ident.TargetID]ident.SoftwareVersion{"a1": "v1", "b1": "v1", "a2": "v2", "b2": "v2"} {
		r.Put(Target{ID: id, Service: "s", Region: ident.RegionID(map[byte]string{'a': "here", 'b': "there"}[id[0]]), Role: desired.RoleMixed, Software: software})
		r.Report(now, id, Report{Slots: 48, PrefillRate: 26000})
	}
	blocks := []uint64{1, 2, 3, 4}
	r.RecordCached(now, "a1", blocks)
	r.RecordCached(now, "a2", blocks[:2])
	return r, blocks
}

// TestSoftwareVersions guards against a request that is bound to a software version and gets a target of
// another, and against KV cache that is fetched from another version.
func TestSoftwareVersions(t *testing.T) {
	v1, v2, v3, none := ident.SoftwareVersion("v1"), ident.SoftwareVersion("v2"), ident.SoftwareVersion("v3"), ident.SoftwareVersion("")
	for name, test := range map[string]struct {
		software *ident.SoftwareVersion
		avoid    ident.TargetID
		want     ident.TargetID // empty if no target may take the request
		source   ident.TargetID
	}{
		"any":                               {nil, "", "a1", ""},
		"any, without the one that caches":  {nil, "a1", "a2", ""}, // a1 has more of the prompt, of another version
		"bound to the version that caches":  {&v1, "", "a1", ""},
		"bound to the other version":        {&v2, "", "a2", ""},
		"bound, its first target failed":    {&v2, "a2", "b2", "a2"},
		"bound to a version that is gone":   {&v3, "", "", ""},
		"bound to targets without versions": {&none, "", "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			r, blocks := newSoftwareRouter()
			c, ok := r.Choose(Request{Service: "s", Stage: StagePrefill, Prompt: 4500, Blocks: blocks, Software: test.software, Avoid: test.avoid})
			if ok != (test.want != "") || c.ID != test.want || c.Source != test.source {
				t.Errorf("chose %q, source %q, want %q, %q", c.ID, c.Source, test.want, test.source)
			}
			if test.software == nil {
				return
			}
			for id, software := range map[ident.TargetID]ident.SoftwareVersion{"a1": v1, "b1": v1, "a2": v2, "b2": v2} {
				_, ok := r.ChooseOnly(Request{Service: "s", Stage: StagePrefill, Software: test.software}, id)
				if want := software == *test.software; ok != want {
					t.Errorf("target %s, chosen elsewhere, accepted: %v, want %v", id, ok, want)
				}
			}
		})
	}
}
