package membership

import (
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/platform"
)

const node fleet.Address = "127.0.0.1:1"

var start = time.Unix(1000, 0)

// TestStateOfNode covers the combinations of what the three sources may state
// about one node.
func TestStateOfNode(t *testing.T) {
	live := Record{Node: fleet.Node{VM: "vm-1", Control: node, State: fleet.VMLive, Incarnation: 5}}
	markedLeaving := live
	markedLeaving.PlatformState = fleet.VMLeaving
	restarted := live
	restarted.Incarnation = 6
	leaving := SelfReport{Incarnation: 5, LeavingChanges: 1, Leaving: true}
	cases := map[string]struct {
		records []Record
		reports []SelfReport
		want    fleet.VMState
	}{
		"listed live":                         {[]Record{live}, nil, fleet.VMLive},
		"self-report precedes a lagging list": {[]Record{live}, []SelfReport{leaving}, fleet.VMLeaving},
		"the list alone":                      {[]Record{markedLeaving}, []SelfReport{{Incarnation: 5}}, fleet.VMLeaving},
		"late older report":                   {[]Record{live}, []SelfReport{leaving, {Incarnation: 5}}, fleet.VMLeaving},
		"drain undone":                        {[]Record{live}, []SelfReport{leaving, {Incarnation: 5, LeavingChanges: 2}}, fleet.VMLive},
		"restart reported":                    {[]Record{live}, []SelfReport{leaving, {Incarnation: 6}}, fleet.VMLive},
		"late report of the last incarnation": {[]Record{live}, []SelfReport{{Incarnation: 6}, leaving}, fleet.VMLive},
		"restart registered, not reported":    {[]Record{live, restarted}, []SelfReport{leaving}, fleet.VMLive},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			store, directory := newUnlimitedStore(), NewDirectory()
			tracker := NewTracker(directory)
			for _, record := range test.records {
				register(t, store, record)
			}
			if _, err := directory.Load(t.Context(), store); err != nil {
				t.Fatal(err)
			}
			tracker.Refresh(start)
			for _, report := range test.reports {
				tracker.Observe(node, report, start)
			}
			nodes := tracker.Refresh(start).Nodes
			if len(nodes) != 1 || nodes[0].State != test.want {
				t.Fatalf("nodes %v, want state %s", nodes, test.want)
			}
		})
	}
}

// TestOlderRecordsDoNotReplaceNewer guards against a view that loses nodes
// because a refresh that read the directory earlier ends later.
func TestOlderRecordsDoNotReplaceNewer(t *testing.T) {
	store, directory := newUnlimitedStore(), NewDirectory()
	tracker := NewTracker(directory)
	older, olderRevision := directory.Records()
	register(t, store, Record{Node: fleet.Node{VM: "vm-1", Control: node}})
	if _, err := directory.Load(t.Context(), store); err != nil {
		t.Fatal(err)
	}
	if !tracker.Outdated() {
		t.Fatal("the change of the directory was not noticed")
	}
	tracker.Refresh(start)
	if view := tracker.merge(older, olderRevision, start); len(view.Nodes) != 1 {
		t.Fatalf("after the older records: nodes %v", view.Nodes)
	}
	if nodes := tracker.View().Nodes; len(nodes) != 1 || tracker.Outdated() {
		t.Fatalf("nodes %v, outdated %t", nodes, tracker.Outdated())
	}
}

// TestSuspicionExpires guards against a suspicion that outlasts a network
// partition, and against a node that has no usable peers because it was itself
// cut off and suspects all of them.
func TestSuspicionExpires(t *testing.T) {
	store, directory := newUnlimitedStore(), NewDirectory()
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
		t.Fatalf("%d usable after a message from one of them", got)
	}
	if got := usable(start.Add(SuspicionTTL)); got != 2 {
		t.Fatalf("%d usable after the suspicions expired", got)
	}
}

// TestUnregisteredNodes guards against a deleted node that stays in the view,
// and against a live one that is missing, when a node introduces itself during
// an outage of the platform and later registers, is removed or sends no more
// introductions.
func TestUnregisteredNodes(t *testing.T) {
	store, directory := newUnlimitedStore(), NewDirectory()
	tracker := NewTracker(directory)
	unregistered := Record{Node: fleet.Node{VM: "vm-1", Control: node, State: fleet.VMLive, Incarnation: 5}}
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
	tracker.Introduce(unregistered, start)
	want("introduced", start, 1)
	want("not introduced again", start.Add(unregisteredTTL), 0)
	tracker.Introduce(unregistered, start)
	registered := register(t, store, unregistered)
	want("registered too", start, 1)
	if err := store.Delete(t.Context(), Key(node), registered.Version); err != nil {
		t.Fatal(err)
	}
	want("removed", start, 0)
	tracker.Introduce(unregistered, start)
	want("introduced again", start, 1)
	deletion := platform.Change{Object: platform.Object{Key: Key(node), Version: registered.Version + 9}, Deleted: true}
	if err := directory.ApplyChanges(t.Context(), store, []platform.Change{deletion}); err != nil {
		t.Fatal(err)
	}
	if nodes := tracker.Refresh(start).Nodes; len(nodes) != 0 {
		t.Fatalf("an unregistered node whose object was deleted is still there: %v", nodes)
	}
}

// reading is the state of a VM in the list at a second after the start.
type reading struct {
	second   int
	state    fleet.VMState // platform.VMGone when it is not listed
	rewrites int           // number of times that the node has registered again by then
}

// TestReconciler covers readings of the list that lag, return an older state or
// lose a VM. Each case states the second at which the reconciler first writes.
func TestReconciler(t *testing.T) {
	live := Record{Node: fleet.Node{VM: "vm-1", Control: node}, Version: 7}
	markedLeaving := live
	markedLeaving.PlatformState = fleet.VMLeaving
	cases := map[string]struct {
		record   Record
		readings []reading
		second   int // -1 for no write
		remove   bool
	}{
		"leaving immediately": {live, []reading{{0, fleet.VMLive, 0}, {1, fleet.VMLeaving, 0}}, 1, false},
		"stale live":          {markedLeaving, []reading{{0, fleet.VMLive, 0}, {1, fleet.VMLeaving, 0}, {6, fleet.VMLive, 0}}, -1, false},
		"live again":          {markedLeaving, []reading{{0, fleet.VMLive, 0}, {5, fleet.VMLive, 0}}, 5, false},
		"gone":                {live, []reading{{0, fleet.VMLive, 0}, {1, platform.VMGone, 0}, {6, platform.VMGone, 0}}, 6, true},
		"missing briefly":     {live, []reading{{0, fleet.VMLive, 0}, {1, platform.VMGone, 0}, {2, fleet.VMLive, 0}, {6, platform.VMGone, 0}}, -1, false},
		"registered again":    {live, []reading{{0, fleet.VMLive, 0}, {1, platform.VMGone, 0}, {6, platform.VMGone, 1}, {11, platform.VMGone, 1}}, 11, true},
		"new, not yet listed": {live, []reading{{0, platform.VMGone, 0}, {29, platform.VMGone, 0}}, -1, false},
		"never listed":        {live, []reading{{0, platform.VMGone, 0}, {30, platform.VMGone, 0}}, 30, true},
		"always consistent":   {markedLeaving, []reading{{0, fleet.VMLeaving, 0}, {60, fleet.VMLeaving, 0}}, -1, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			reconciler := NewReconciler()
			second := -1
			for _, reading := range test.readings {
				var vms []platform.VM
				if reading.state != platform.VMGone {
					vms = []platform.VM{{Name: "vm-1", State: reading.state}}
				}
				now := start.Add(time.Duration(reading.second) * time.Second)
				record := test.record
				record.Version += platform.Version(reading.rewrites)
				writes := reconciler.Reconcile(now, vms, []Record{record})
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

// TestReconcilerLimitsRemovals guards against the removal of the whole fleet
// when a fault of the platform returns an empty list for longer than the
// confirmation time. A real loss never takes every VM at once.
func TestReconcilerLimitsRemovals(t *testing.T) {
	reconciler := NewReconciler()
	var records []Record
	for i := range 100 {
		records = append(records, Record{Node: fleet.Node{Control: fleet.Address(rune('a' + i))}})
	}
	reconciler.Reconcile(start, nil, records)
	if writes := reconciler.Reconcile(start.Add(time.Hour), nil, records); len(writes) != maxRemovals {
		t.Fatalf("%d nodes removed after one reading", len(writes))
	}
}
