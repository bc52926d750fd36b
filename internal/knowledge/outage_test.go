package knowledge

import (
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

// Guards against entries of processes that have ended which count as current, just after one outage
// of the store or the second of two.
func TestProcessesAreUnknownUntilEntriesAreWrittenAgain(t *testing.T) {
	const age = time.Second
	start := boottime.Instant(time.Hour)
	at := func(seconds float64) boottime.Instant {
		return start.Add(time.Duration(seconds * float64(time.Second)))
	}
	view := &View{ListConfirmedAt: start, outageAge: age, usualAge: age}
	for _, step := range []struct{ confirmed, now, want float64 }{
		{0.9, 1, 0}, // no outage
		{2.5, 2.5, 0.9},
		{3, 4.9, 0.9},
		{5.1, 5.1, 0.9}, // another one before all entries were written again
		{6, 6.5, 0.9},
		{6.5, 7.5, 0.9},
		{7.4, 7.7, 0.9},
		{7.7, 7.8, 0}, // written again
		{7.7, 8.8, 7.7},
	} {
		view.noteOutage(at(step.confirmed))
		view.ListConfirmedAt = at(step.confirmed)
		want := at(step.want)
		if step.want == 0 {
			want = 0
		}
		if got := view.ProcessesListedAt(at(step.now)); got != want {
			t.Errorf("confirmed %v, now %v: %v, want %v", step.confirmed, step.now, got.Sub(start), want.Sub(start))
		}
	}
}
