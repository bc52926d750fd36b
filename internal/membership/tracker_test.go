package membership

import (
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/platform"
)

const node fleet.Address = "127.0.0.1:1"

var start = time.Unix(1000, 0)

// TestStateOfNode walks through what the three sources may say of one node.
func TestStateOfNode(t *testing.T) {
	live := Record{Node: fleet.Node{VM: "vm-1", Control: node, State: fleet.VMLive, Incarnation: 5}}
	marked := live
	marked.PlatformState = fleet.VMLeaving
	restarted := live
	restarted.Incarnation = 6
	leaving := SelfReport{Incarnation: 5, LeavingChanges: 1, Leaving: true}
	cases := map[string]struct {
		records []Record
		words   []SelfReport
		want    fleet.VMState
	}{
		"listed live":                        {[]Record{live}, nil, fleet.VMLive},
		"its word leads over a lagging list": {[]Record{live}, []SelfReport{leaving}, fleet.VMLeaving},
		"the list alone":                     {[]Record{marked}, []SelfReport{{Incarnation: 5}}, fleet.VMLeaving},
		"late older word":                    {[]Record{live}, []SelfReport{leaving, {Incarnation: 5}}, fleet.VMLeaving},
		"drain undone":                       {[]Record{live}, []SelfReport{leaving, {Incarnation: 5, LeavingChanges: 2}}, fleet.VMLive},
		"restart heard":                      {[]Record{live}, []SelfReport{leaving, {Incarnation: 6}}, fleet.VMLive},
		"late word of the last incarnation":  {[]Record{live}, []SelfReport{{Incarnation: 6}, leaving}, fleet.VMLive},
		"restart registered, not heard":      {[]Record{live, restarted}, []SelfReport{leaving}, fleet.VMLive},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			store, directory := unlimited(), NewDirectory()
			tracker := NewTracker(directory)
			for _, record := range test.records {
				register(t, store, record)
			}
			if _, err := directory.Load(t.Context(), store); err != nil {
				t.Fatal(err)
			}
			tracker.Refresh(start)
			for _, word := range test.words {
				tracker.Observe(node, word, start)
			}
			nodes := tracker.Refresh(start).Nodes
			if len(nodes) != 1 || nodes[0].State != test.want {
				t.Fatalf("nodes %v, want state %s", nodes, test.want)
			}
		})
	}
}

// TestSuspicionHeals covers a node that cannot be reached for a while.
// Symptom: calls to it fail; later it is well but gets no work.
// Sequence: calls fail in a row; nothing is heard; the time passes.
// Cause: a partition that heals. Suspicion must not outlive it, and must not
// leave a node that is itself cut off without any peer.
func TestSuspicionHeals(t *testing.T) {
	store, directory := unlimited(), NewDirectory()
	tracker := NewTracker(directory)
	for _, control := range []fleet.Address{node, "127.0.0.1:2"} {
		register(t, store, Record{Node: fleet.Node{Control: control, State: fleet.VMLive}})
	}
	if _, err := directory.Load(t.Context(), store); err != nil {
		t.Fatal(err)
	}
	usable := func(now time.Time) int {
		view := tracker.Refresh(now)
		if len(view.Nodes) != 2 {
			t.Fatalf("suspicion removed a node: %v", view.Nodes)
		}
		return len(view.Usable(view.Nodes))
	}
	fail := func(control fleet.Address, now time.Time) {
		for range SuspectThreshold {
			tracker.CallFailed(control, now)
		}
	}
	fail(node, start)
	if got := usable(start); got != 1 {
		t.Fatalf("%d usable with one suspected", got)
	}
	fail("127.0.0.1:2", start)
	if got := usable(start); got != 2 {
		t.Fatalf("%d usable with all suspected", got)
	}
	tracker.Observe("127.0.0.1:2", SelfReport{Incarnation: 1}, start)
	if got := usable(start); got != 1 {
		t.Fatalf("%d usable with one heard again", got)
	}
	if got := usable(start.Add(SuspicionTTL)); got != 2 {
		t.Fatalf("%d usable after the time", got)
	}
}

// TestGuests covers a node that cannot register.
// Symptom: a node that is gone stays in the view, or a live one is missing.
// Sequence: it introduces itself; then it registers, or is removed by the
// platform's word, or is heard no more.
// Cause: the platform is down while it starts, and comes back.
func TestGuests(t *testing.T) {
	store, directory := unlimited(), NewDirectory()
	tracker := NewTracker(directory)
	visitor := Record{Node: fleet.Node{VM: "vm-1", Control: node, State: fleet.VMLive, Incarnation: 5}}
	count := func(now time.Time) int {
		if _, err := directory.Load(t.Context(), store); err != nil {
			t.Fatal(err)
		}
		return len(tracker.Refresh(now).Nodes)
	}
	want := func(what string, now time.Time, want int) {
		t.Helper()
		if got := count(now); got != want {
			t.Fatalf("%s: %d nodes, want %d", what, got, want)
		}
	}
	tracker.Introduce(visitor, start)
	want("introduced", start, 1)
	want("not heard of again", start.Add(guestLife), 0)
	tracker.Introduce(visitor, start)
	registered := register(t, store, visitor)
	want("registered too", start, 1)
	if err := store.Delete(t.Context(), Key(node), registered.Version); err != nil {
		t.Fatal(err)
	}
	want("removed", start, 0)
	tracker.Introduce(visitor, start)
	want("introduced again", start, 1)
	gone := platform.Change{Object: platform.Object{Key: Key(node), Version: registered.Version + 9}, Deleted: true}
	if err := directory.ApplyChanges(t.Context(), store, []platform.Change{gone}); err != nil {
		t.Fatal(err)
	}
	if nodes := tracker.Refresh(start).Nodes; len(nodes) != 0 {
		t.Fatalf("removed before its object was seen: %v", nodes)
	}
}

// reading is what a keeper finds in the list at a second after the start.
type reading struct {
	second int
	state  fleet.VMState // platform.VMGone when it is not listed
	writes int           // times that the node has registered again by then
}

// TestKeeper walks through readings of the list that lag, go back to an older
// state or lose a VM. Each case tells at which second the keeper first writes.
func TestKeeper(t *testing.T) {
	live := Record{Node: fleet.Node{VM: "vm-1", Control: node}, Version: 7}
	marked := live
	marked.PlatformState = fleet.VMLeaving
	cases := map[string]struct {
		record   Record
		readings []reading
		second   int // -1 for no write
		remove   bool
	}{
		"leaving at once":       {live, []reading{{0, fleet.VMLive, 0}, {1, fleet.VMLeaving, 0}}, 1, false},
		"stale live":            {marked, []reading{{0, fleet.VMLive, 0}, {1, fleet.VMLeaving, 0}, {6, fleet.VMLive, 0}}, -1, false},
		"live again":            {marked, []reading{{0, fleet.VMLive, 0}, {5, fleet.VMLive, 0}}, 5, false},
		"gone":                  {live, []reading{{0, fleet.VMLive, 0}, {1, platform.VMGone, 0}, {6, platform.VMGone, 0}}, 6, true},
		"missing for a moment":  {live, []reading{{0, fleet.VMLive, 0}, {1, platform.VMGone, 0}, {2, fleet.VMLive, 0}, {6, platform.VMGone, 0}}, -1, false},
		"registered again":      {live, []reading{{0, fleet.VMLive, 0}, {1, platform.VMGone, 0}, {6, platform.VMGone, 1}, {11, platform.VMGone, 1}}, 11, true},
		"new, not yet listed":   {live, []reading{{0, platform.VMGone, 0}, {29, platform.VMGone, 0}}, -1, false},
		"never listed":          {live, []reading{{0, platform.VMGone, 0}, {30, platform.VMGone, 0}}, 30, true},
		"in accord all the way": {marked, []reading{{0, fleet.VMLeaving, 0}, {60, fleet.VMLeaving, 0}}, -1, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			keeper := NewReconciler()
			second := -1
			for _, reading := range test.readings {
				var vms []platform.VM
				if reading.state != platform.VMGone {
					vms = []platform.VM{{Name: "vm-1", State: reading.state}}
				}
				now := start.Add(time.Duration(reading.second) * time.Second)
				record := test.record
				record.Version += platform.Version(reading.writes)
				writes := keeper.Reconcile(now, vms, []Record{record})
				if len(writes) == 0 || second >= 0 {
					continue
				}
				second = reading.second
				if writes[0].Remove != test.remove || writes[0].Record.Version != record.Version {
					t.Errorf("write %+v", writes[0])
				}
			}
			if second != test.second {
				t.Fatalf("wrote at second %d, want %d", second, test.second)
			}
		})
	}
}

// TestKeeperSparesMostNodes covers a list that is wrongly empty.
// Symptom: all nodes vanish at once and the fleet stops.
// Sequence: the platform lists no VM for longer than the settle time.
// Cause: a fault of the platform; a real loss never takes every VM at once.
func TestKeeperSparesMostNodes(t *testing.T) {
	keeper := NewReconciler()
	var records []Record
	for i := range 100 {
		records = append(records, Record{Node: fleet.Node{Control: fleet.Address(rune('a' + i))}})
	}
	keeper.Reconcile(start, nil, records)
	if writes := keeper.Reconcile(start.Add(time.Hour), nil, records); len(writes) != maxRemovals {
		t.Fatalf("%d nodes removed at one reading", len(writes))
	}
}
