package streamorigin

import (
	"fmt"
	"testing"
	"time"

	"github.com/samber/lo"
	"pgregory.net/rapid"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
)

// keptSlot is what a store keeps of a slot.
type keptSlot struct {
	records []Record
	until   boottime.Instant
}

// Guards against records that are overwritten while their streams can still be taken up, whatever
// writes get lost or take effect without an answer, and however often the router starts again.
func TestJournalKeepsWhatWasWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := boottime.Instant(time.Hour)
		kept := make(map[int]keptSlot)
		begun, written := make(map[Stream]Origin), make(map[Stream]Origin)
		journal := NewJournal(maxSlotRecords)
		next := Stream(0)
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				for range rapid.IntRange(1, 300).Draw(t, "streams") {
					next++
					begun[next] = Origin{Software: knowledge.SoftwareID(next%3 + 1), Until: now.Add(45 * time.Second)}
					journal.Add(next, begun[next], now)
				}
			},
			"write": func(t *rapid.T) {
				batch, changed := journal.Next(now)
				outcome := rapid.SampledFrom([]string{"answered", "answered", "lost", "unanswered"}).Draw(t, "outcome")
				if !changed || outcome == "lost" {
					return
				}
				kept[batch.Slot] = keptSlot{records: batch.Records, until: now.Add(batch.Lasts)}
				if outcome == "unanswered" {
					return
				}
				journal.Written(batch)
				for _, record := range batch.Records {
					written[record.Stream] = begun[record.Stream]
				}
			},
			"start again": func(*rapid.T) {
				journal = NewJournal(maxSlotRecords)
				for slot, content := range kept {
					journal.Reserve(slot, content.until)
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second)
			},
			"": func(t *rapid.T) {
				found := make(map[Stream]knowledge.SoftwareID)
				for _, slot := range kept {
					for _, record := range slot.records {
						found[record.Stream] = record.Software
					}
				}
				for stream, origin := range written {
					if origin.Until > now && found[stream] != origin.Software {
						t.Fatalf("stream %d: software %d, want %d", stream, found[stream], origin.Software)
					}
				}
				if len(kept) > MaxSlots {
					t.Fatalf("%d slots", len(kept))
				}
			},
		})
	})
}

// Guards against a journal that grows without a bound while the store is away, and against more
// slots than a start can read.
func TestJournalIsBounded(t *testing.T) {
	const maxRecords = 1000
	journal := NewJournal(maxRecords)
	now := boottime.Instant(time.Hour)
	slots := make(map[int]bool)
	for i := range Stream(200 * maxRecords) {
		journal.Add(i, Origin{Software: 1, Until: now.Add(MaxTime)}, now)
		if i%(2*maxRecords) != 0 {
			continue
		}
		batch, _ := journal.Next(now)
		if len(batch.Records) > maxRecords {
			t.Fatalf("%d records", len(batch.Records))
		}
		slots[batch.Slot] = true
		journal.Written(batch)
	}
	if len(slots) > MaxSlots || journal.TakeDropped() == 0 {
		t.Errorf("%d slots", len(slots))
	}
}

// Guards against a stream with one id at two versions that goes on at either, when one record of
// it is stored and the other in memory, or both are stored.
func TestStoredOriginsOfTwoVersionsAreAmbiguous(t *testing.T) {
	now := boottime.Instant(time.Hour)
	table := NewTable()
	table.SetStored([]Record{{1, 7}, {2, 7}, {3, 7}, {2, 8}, {3, 7}}, now.Add(time.Second))
	table.Set(1, Origin{Software: 8, Until: now.Add(time.Second)}, now)
	for stream, want := range map[Stream]knowledge.SoftwareID{1: Ambiguous, 2: Ambiguous, 3: 7} {
		if origin, known := table.Find(stream, now); !known || origin.Software != want {
			t.Errorf("stream %d: software %d, want %d", stream, origin.Software, want)
		}
	}
	if _, known := table.Find(3, now.Add(time.Second)); known {
		t.Error("one is found after its time")
	}
}

// Guards against writes that grow with the fleet, beyond their share of the store's, or with what a
// large store takes.
func TestWritesStayWithinTheirShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		storeWrites := rapid.IntRange(1, 5000).Draw(t, "writes of the store")
		routers := rapid.IntRange(1, 1000).Draw(t, "routers")
		for needed, share := range map[bool]float64{true: neededShare, false: spareShare} {
			plan := PlanWrites(storeWrites, routers, needed)
			perSecond := float64(plan.Writers) / plan.Period.Seconds()
			bound := share * float64(storeWrites)
			if needed {
				bound = min(bound, maxWritesPerSecond)
			}
			if plan.Writers < 1 || perSecond > bound*1.001 {
				t.Fatalf("needed %v: %d writers each %v are %.3f a second, want %.3f at most", needed, plan.Writers, plan.Period, perSecond, bound)
			}
		}
	})
}

// Guards against zones without a writer, whose records would all cross zones, and against a
// writer that gets most of the records.
func TestWritersAreSpread(t *testing.T) {
	all := routers(5, 70)
	writers := Writers(all, 20)
	perZone := lo.CountValuesBy(writers, func(router Router) fleet.Zone { return router.Zone })
	if len(writers) != 20 || len(perZone) != 5 {
		t.Fatalf("%d writers in %d zones", len(writers), len(perZone))
	}
	received := make(map[fleet.Address]int)
	const streams = 20000
	for i := range streams {
		zone := all[i%len(all)].Zone
		writer, _ := WriterOf(StreamOf(fmt.Sprint(i)), zone, writers)
		if writer.Zone != zone {
			t.Fatalf("a record crosses zones")
		}
		received[writer.Address]++
	}
	if most := lo.Max(lo.Values(received)); most > streams/20*3/2 {
		t.Errorf("a writer receives %d of %d records", most, streams)
	}
}

func BenchmarkWriterOf(b *testing.B) {
	all := routers(4, 89)
	writers := Writers(all, 20)
	for i := range b.N {
		WriterOf(Stream(i), "1", writers)
	}
}

func BenchmarkWriters(b *testing.B) {
	all := routers(4, 89)
	for range b.N {
		Writers(all, 20)
	}
}

func BenchmarkJournalAdd(b *testing.B) {
	journal := NewJournal(maxSlotRecords)
	now := boottime.Instant(time.Hour)
	for i := range b.N {
		journal.Add(Stream(i), Origin{Software: 1, Until: now.Add(time.Minute)}, now)
		if i%500 == 0 {
			batch, _ := journal.Next(now)
			journal.Written(batch)
		}
	}
}

// Guards against records that are overwritten while their streams can be taken up.
func TestJournalKeepsTheRecordsOfLiveStreams(t *testing.T) {
	const lasts = 330 * time.Second // of a stream of five minutes
	for _, c := range []struct{ routers, streams int }{{4, 140}, {24, 400}, {356, 1700}, {1000, 3100}} {
		plan := PlanWrites(400, c.routers, true)
		journal, now := NewJournal(maxSlotRecords), boottime.Instant(time.Hour)
		perWrite := int(float64(c.streams) / float64(plan.Writers) * plan.Period.Seconds())
		var next Stream
		kept, ends := make(map[int][]Record), make(map[Stream]boottime.Instant)
		for end := now.Add(2 * lasts); now < end; now = now.Add(plan.Period) {
			for range perWrite {
				next++
				ends[next] = now.Add(lasts)
				journal.Add(next, Origin{Software: 1, Until: now.Add(lasts)}, now)
			}
			if batch, changed := journal.Next(now); changed {
				kept[batch.Slot] = batch.Records
				journal.Written(batch)
			}
		}
		for _, records := range kept {
			for _, record := range records {
				delete(ends, record.Stream)
			}
		}
		lost := lo.CountBy(lo.Values(ends), func(end boottime.Instant) bool { return end > now })
		if lost > 0 {
			t.Errorf("%d routers: %d records of streams are lost that can be taken up", c.routers, lost)
		}
	}
}
