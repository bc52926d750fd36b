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
	// editLimit ends the wait for an edit that does not arrive.
	editLimit = time.Minute
	// betweenEdits lets the platform's watchers find it again after an outage.
	betweenEdits = 8 * time.Second
)

// editFigures tell how one edit spread.
type editFigures struct {
	Revision      uint64  `json:"revision"`
	MedianMs      float64 `json:"median_ms"` // from the acceptance until in force at a node
	P99Ms         float64 `json:"p99_ms"`
	LastMs        float64 `json:"last_ms"`
	MissingNodes  int     `json:"missing_nodes"`
	AfterOutage   int     `json:"nodes_reached_after_the_outage_began"`
	SettingsBytes float64 `json:"settings_bytes_per_node"` // bodies in and out, until the last node has it
}

// measureEdit has an edit accepted, stops the platform a moment later and waits
// until the edit is in force everywhere.
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
	times := f.waitRevision(ctx, result.Revision, accepted)
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
	return figures, sleep(ctx, betweenEdits)
}

// waitRevision returns, in order, the times from accepted until each node had
// the revision in force.
func (f *testFleet) waitRevision(ctx context.Context, revision uint64, accepted time.Time) []time.Duration {
	bounded, cancel := context.WithTimeout(ctx, editLimit)
	defer cancel()
	var mu sync.Mutex
	var times []time.Duration
	var waiting sync.WaitGroup
	for _, node := range f.nodes {
		waiting.Go(func() {
			if !waitNode(bounded, node.settings, revision) {
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

func waitNode(ctx context.Context, replica *settings.Replica, revision uint64) bool {
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

// summarize works out the figures of sorted times.
func summarize(times []time.Duration, outage time.Duration) editFigures {
	if len(times) == 0 {
		return editFigures{}
	}
	milliseconds := func(index int) float64 { return float64(times[index].Microseconds()) / 1000 }
	late := len(times) - sortedBelow(times, outage)
	last := len(times) - 1
	return editFigures{
		MedianMs:    milliseconds(len(times) / 2),
		P99Ms:       milliseconds(min(last, len(times)*99/100)),
		LastMs:      milliseconds(last),
		AfterOutage: late,
	}
}

// sortedBelow counts the times below a limit.
func sortedBelow(times []time.Duration, limit time.Duration) int {
	index, _ := slices.BinarySearch(times, limit)
	return index
}
