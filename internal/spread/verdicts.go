package spread

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellchute/bluebellchute/internal/rpc"
	"github.com/bluebellchute/bluebellchute/internal/tick"
)

const (
	// maxVerdicts limits the table. The verdicts that expire first are dropped.
	maxVerdicts = 4096
	// maxVerdictsSent limits the verdicts per message to about 3 KB. Half of
	// them are those that expire last, which the peer most likely lacks, and
	// half are drawn at random, so that two large sets eventually converge.
	maxVerdictsSent = 64
)

// verdictTable is the set of unexpired verdicts by fingerprint. Sets merge to
// the same result in any order: each verdict keeps its highest crash count and
// its latest expiry.
type verdictTable struct {
	rows       *tick.Table[string, rpc.Verdict]
	digest     uint64 // equal at two nodes with the same set
	changed    bool   // since the last VerdictsChanged
	unpushed   bool   // changed since the last push
	nextExpiry int64  // earliest expiry, Unix milliseconds; 0 for none
}

func newVerdictTable() *verdictTable {
	return &verdictTable{rows: tick.NewTable[string, rpc.Verdict]()}
}

// merge adds verdicts that have not expired.
func (v *verdictTable) merge(verdicts []*rpc.Verdict, now time.Time) {
	for _, verdict := range verdicts {
		if verdict.GetExpiresMs() > now.UnixMilli() {
			v.mergeOne(verdict)
		}
	}
	if v.changed {
		v.prune(now)
	}
}

func (v *verdictTable) mergeOne(verdict *rpc.Verdict) {
	key := string(verdict.GetFingerprint())
	known := v.rows.Get(key)
	merged := &rpc.Verdict{
		Fingerprint: verdict.GetFingerprint(),
		Crashes:     max(known.GetCrashes(), verdict.GetCrashes()),
		ExpiresMs:   max(known.GetExpiresMs(), verdict.GetExpiresMs()),
	}
	if merged.Crashes == known.GetCrashes() && merged.ExpiresMs == known.GetExpiresMs() {
		return
	}
	v.rows.Put(key, merged)
	v.changed = true
	v.unpushed = true
}

// prune removes expired verdicts and those above maxVerdicts, and recomputes
// the digest.
func (v *verdictTable) prune(now time.Time) {
	v.rows.Each(func(key string, verdict *rpc.Verdict) {
		if verdict.GetExpiresMs() <= now.UnixMilli() {
			v.rows.Delete(key)
			v.changed = true
		}
	})
	all := v.list(v.rows.Len())
	for len(all) > maxVerdicts {
		v.rows.Delete(string(all[len(all)-1].GetFingerprint()))
		all = all[:len(all)-1]
	}
	v.digest = 0
	v.nextExpiry = 0
	for _, verdict := range all {
		v.digest ^= digestOf(verdict)
		v.nextExpiry = verdict.GetExpiresMs()
	}
}

// list returns up to count verdicts, ordered by expiry, latest first.
func (v *verdictTable) list(count int) []*rpc.Verdict {
	all := make([]*rpc.Verdict, 0, v.rows.Len())
	v.rows.Each(func(_ string, verdict *rpc.Verdict) { all = append(all, verdict) })
	slices.SortFunc(all, func(a, b *rpc.Verdict) int {
		return cmp.Or(cmp.Compare(b.GetExpiresMs(), a.GetExpiresMs()), slices.Compare(a.GetFingerprint(), b.GetFingerprint()))
	})
	return all[:min(count, len(all))]
}

// sample returns the verdicts to send in one message.
func (v *verdictTable) sample(random *rand.Rand) []*rpc.Verdict {
	all := v.list(v.rows.Len())
	if len(all) <= maxVerdictsSent {
		return all
	}
	newest, others := all[:maxVerdictsSent/2], all[maxVerdictsSent/2:]
	random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return append(newest, others[:maxVerdictsSent/2]...)
}

func digestOf(verdict *rpc.Verdict) uint64 {
	encoded := slices.Clone(verdict.GetFingerprint())
	encoded = binary.BigEndian.AppendUint32(encoded, verdict.GetCrashes())
	encoded = binary.BigEndian.AppendUint64(encoded, uint64(verdict.GetExpiresMs()))
	return xxhash.Sum64(encoded)
}

// expireVerdicts removes expired verdicts and emits any change of the set.
func (w *World) expireVerdicts(now time.Time) {
	if w.verdicts.nextExpiry > 0 {
		if now.UnixMilli() >= w.verdicts.nextExpiry {
			w.verdicts.prune(now)
		}
		w.wake(time.UnixMilli(w.verdicts.nextExpiry))
	}
	if w.verdicts.changed {
		w.verdicts.changed = false
		w.emit(VerdictsChanged{Verdicts: w.verdicts.list(w.verdicts.rows.Len()), Digest: w.verdicts.digest})
	}
}
