package main

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/platform"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

const (
	// editTimeout bounds the wait for an edit to reach all nodes.
	editTimeout = time.Minute
	// recoveryDelay gives the platform's watchers time to reconnect after an outage.
	recoveryDelay = 8 * time.Second
)

// editFigures are the measurements of one edit.
type editFigures struct {
	Revision      uint64  `json:"revision"`
	MedianMs      float64 `json:"median_ms"` // from acceptance until effective at a node
	P99Ms         float64 `json:"p99_ms"`
	LastMs        float64 `json:"last_ms"`
	MissingNodes  int     `json:"missing_nodes"`
	AfterOutage   int     `json:"nodes_reached_after_the_outage_began"`
	SettingsBytes float64 `json:"settings_bytes_per_node"` // request and response bodies, until the last node has the edit
}

// measureEdit submits an edit, stops the platform shortly after its acceptance and
// waits until the edit is effective at all nodes.
func (f *testFleet) measureEdit(ctx context.Context, o options, number int) (editFigures, error) {
	before, err := f.controlBytes()
	if err != nil {
		return editFigures{}, err
	}
	editor := settings.NewEditor(f.store, settings.DefaultRetryPolicy())
	weight := []string{"2", "3"}[number%2]
	result := editor.Submit(ctx, settings.Edit{Operator: "measure-spread", Reason: "measurement", Changes: []settings.Change{
		{Op: settings.OpSet, Path: teamOf(0), Key: settings.KeyWeight, After: weight},
	}})
	accepted := time.Now()
	if result.Outcome != settings.OutcomeAccepted {
		return editFigures{}, errors.Wrapf(result.Err, "edit %s", result.Outcome)
	}
	outage := time.AfterFunc(o.Outage, func() { f.store.SetFaults(platform.Faults{Down: true}) })
	defer outage.Stop()
	times := f.waitAllForRevision(ctx, result.Revision, accepted)
	after, err := f.controlBytes()
	if err != nil {
		return editFigures{}, err
	}
	figures := summarize(times, o.Outage)
	figures.Revision = result.Revision
	figures.MissingNodes = len(f.nodes) - len(times)
	figures.SettingsBytes = (after["settings"] - before["settings"]) / float64(len(f.nodes))
	if err := sleep(ctx, o.Outage); err != nil {
		return figures, err
	}
	f.store.SetFaults(platform.Faults{})
	return figures, sleep(ctx, recoveryDelay)
}

// waitAllForRevision waits until all nodes have the revision, or for editTimeout.
// It returns the sorted times that the nodes took, counted from accepted.
func (f *testFleet) waitAllForRevision(ctx context.Context, revision uint64, accepted time.Time) []time.Duration {
	bounded, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	var mu sync.Mutex
	var times []time.Duration
	var waiting sync.WaitGroup
	for _, node := range f.nodes {
		waiting.Go(func() {
			if !waitForRevision(bounded, node.settings, revision) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			times = append(times, time.Since(accepted))
		})
	}
	waiting.Wait()
	slices.Sort(times)
	return times
}

func waitForRevision(ctx context.Context, replica *settings.Replica, revision uint64) bool {
	for {
		changed := replica.Changed()
		if replica.Revision() >= revision {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// summarize computes the figures of sorted times.
func summarize(times []time.Duration, outage time.Duration) editFigures {
	if len(times) == 0 {
		return editFigures{}
	}
	milliseconds := func(index int) float64 { return float64(times[index].Microseconds()) / 1000 }
	late := len(times) - countBelow(times, outage)
	last := len(times) - 1
	return editFigures{
		MedianMs:    milliseconds(len(times) / 2),
		P99Ms:       milliseconds(min(last, len(times)*99/100)),
		LastMs:      milliseconds(last),
		AfterOutage: late,
	}
}

// countBelow returns how many of the sorted times are below a limit.
func countBelow(times []time.Duration, limit time.Duration) int {
	index, _ := slices.BinarySearch(times, limit)
	return index
}
