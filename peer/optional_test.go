package peer

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/hickoryridge/hickoryridge/admit"
	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/cluster/feed"
	"github.com/hickoryridge/hickoryridge/internal/cluster/inflight"
	"github.com/hickoryridge/hickoryridge/internal/cluster/permit"
	"github.com/hickoryridge/hickoryridge/internal/net/fields"
	"github.com/hickoryridge/hickoryridge/router"
	"github.com/hickoryridge/hickoryridge/state"
	"github.com/hickoryridge/hickoryridge/target"
)

// The messages as an earlier version knows them.
type (
	earlierGrant struct {
		Duration time.Duration
		Version  state.Version
		View     *state.View
		Claims   []state.Claim
		Roster   *Roster
		Holders  int
	}
	earlierSum struct {
		Loads  inflight.Loads
		Placed []Placement
		Next   feed.Cursor
	}
	earlierPlaced struct {
		Ticket       Ticket
		Target       ident.TargetID
		CacheSource  ident.TargetID
		Cached       ident.Tokens
		ExpectedTTFT time.Duration
		QueueWait    time.Duration
		RetryAfter   time.Duration
	}
	earlierPlace struct {
		Service       ident.ServiceID
		Version       string
		Stage         router.Stage
		Prompt        ident.Tokens
		Parts         []router.Part
		Avoid         ident.TargetID
		Urgency       router.Urgency
		CacheRegion   ident.RegionID
		TTFTObjective time.Duration
		Remaining     time.Duration
		KnownEngines  int
	}
	earlierMember struct {
		Instance ident.InstanceID
		Change   MemberChange
		Address  string
	}
	earlierListing struct {
		Targets target.Listing
	}
	earlierNote struct {
		Ticket  Ticket
		Event   NoteEvent
		Running int
		Slots   int
	}
)

// encoded returns a value as it is sent between instances.
func encoded(t *testing.T, from any) []byte {
	t.Helper()
	var buf bytes.Buffer
	if err := fields.NewEncoder(&buf).Encode(from); err != nil {
		t.Fatal(err)
	}
	return buf.Bytes()
}

// recode encodes a value as it is sent between instances and decodes it into another.
func recode(t *testing.T, from, into any) error {
	t.Helper()
	return msgpack.Unmarshal(encoded(t, from), into)
}

// TestOptionalFieldsBetweenVersions exchanges messages with an earlier version. It must read those
// without optional fields, this version those of both.
func TestOptionalFieldsBetweenVersions(t *testing.T) {
	rate := ident.RequestsPerSecond(7.9)
	software := ident.SoftwareVersion("v1")
	limits := permit.Snapshot{Run: 7, Limits: []permit.Limit{{Target: "t", Incarnation: 2, Rate: rate}}}
	for name, test := range map[string]struct {
		current  any // without optional fields
		earlier  any // the same message in the earlier version
		extended any // with optional fields
	}{
		"grant":  {&Grant{Duration: time.Second, Version: 4, Holders: 9}, &earlierGrant{Duration: time.Second, Version: 4, Holders: 9}, &Grant{Duration: time.Second, Version: 4, Holders: 9, Limits: limits}},
		"sum":    {&Sum{Next: feed.Cursor{Run: 3, Next: 5}}, &earlierSum{Next: feed.Cursor{Run: 3, Next: 5}}, &Sum{Next: feed.Cursor{Run: 3, Next: 5}, Limits: limits}},
		"placed": {&Placed{Ticket: 3, Target: "t", Cached: 100}, &earlierPlaced{Ticket: 3, Target: "t", Cached: 100}, &Placed{Ticket: 3, Target: "t", Cached: 100, Permitted: true}},
		"none":   {&Placed{RetryAfter: time.Second}, &earlierPlaced{RetryAfter: time.Second}, &Placed{RetryAfter: time.Second, Limited: true}},
		"place":  {&Place{Service: "s", Prompt: 9, KnownEngines: 3}, &earlierPlace{Service: "s", Prompt: 9, KnownEngines: 3}, &Place{Service: "s", Software: &software}},
		"deferred": {
			&Placed{Ticket: 3, Target: "t", Cached: 100}, &earlierPlaced{Ticket: 3, Target: "t", Cached: 100},
			&Placed{Ticket: 3, Target: "t", Cached: 100, Standing: admit.DeferredAsLate},
		},
		"contest": {
			&Place{Service: "s", Prompt: 9, KnownEngines: 3}, &earlierPlace{Service: "s", Prompt: 9, KnownEngines: 3},
			&Place{Service: "s", Entry: &ContestEntry{Workspace: "w", Elapsed: time.Second, Deferred: true}},
		},
		"note": {&Note{Ticket: 3, Event: NoteLoad, Running: 1, Slots: 6}, &earlierNote{3, NoteLoad, 1, 6}, &Note{Ticket: 3, Event: NoteLimited, Rate: &rate}},
		"pace": {&Note{Ticket: 3, Event: NoteLoad, Running: 1, Slots: 6}, &earlierNote{3, NoteLoad, 1, 6}, &Note{Ticket: 3, Event: NoteLoad, Running: 1, Slots: 6, Pace: 250}},
		"member": {
			&Member{Instance: "i", Change: MemberAdd, Address: "a:1"}, &earlierMember{"i", MemberAdd, "a:1"},
			&Member{Instance: "i", Change: MemberJoin, Address: "a:1"},
		},
		"listing": {
			&Listing{Targets: target.Listing{Next: target.Cursor{Run: 4, Revision: 2}}}, &earlierListing{target.Listing{Next: target.Cursor{Run: 4, Revision: 2}}},
			&Listing{Targets: target.Listing{Next: target.Cursor{Run: 4, Revision: 2}}, Wall: 1_700_000_000_000},
		},
	} {
		t.Run(name, func(t *testing.T) {
			if now, before := encoded(t, test.current), encoded(t, test.earlier); !bytes.Equal(now, before) {
				t.Errorf("without optional fields the message has the bytes %x, in the earlier version %x", now, before)
			}
			for direction, pair := range map[string][2]any{
				"from this to the earlier version": {test.current, test.earlier},
				"from the earlier to this version": {test.earlier, test.current},
				"from this to this version":        {test.extended, test.extended},
			} {
				got := reflect.New(reflect.TypeOf(pair[1]).Elem())
				if err := recode(t, pair[0], got.Interface()); err != nil || !reflect.DeepEqual(got.Interface(), pair[1]) {
					t.Errorf("%s: got %+v, want %+v: %v", direction, got.Elem(), reflect.ValueOf(pair[1]).Elem(), err)
				}
			}
		})
	}
	if err := recode(t, []int{1, 2}, &Note{}); !fault.Is(err, fault.FrameInvalid) {
		t.Errorf("note of two fields: %v", err)
	}
}
