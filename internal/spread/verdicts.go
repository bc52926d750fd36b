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
	// maxVerdicts bounds the table. The ones that expire first give way.
	maxVerdicts = 4096
	// maxVerdictsSent bounds the verdicts in one message, about 3 KB. Half of
	// them are the newest ones, which the peer lacks most likely, and half are
	// drawn, so that two large sets become the same in the end.
	maxVerdictsSent = 64
)

// verdictTable is the set of unexpired verdicts by fingerprint. Two sets merge
// to the same one in any order: of each verdict the most crashes and the latest
// expiry stay.
type verdictTable struct {
	rows    *tick.Table[string, rpc.Verdict]
	digest  uint64 // the same at two nodes with the same set
	changed bool   // since the last look
	news    bool   // since the last push
	expires int64  // earliest expiry, Unix milliseconds; 0 for none
}

func newVerdictTable() *verdictTable {
	return &verdictTable{rows: tick.NewTable[string, rpc.Verdict]()}
}

// merge takes in verdicts that have not expired.
func (v *verdictTable) merge(verdicts []*rpc.Verdict, now time.Time) {
	for _, verdict := range verdicts {
		if verdict.GetExpiresMs() > now.UnixMilli() {
			v.mergeOne(verdict)
		}
	}
	if v.changed {
		v.settle(now)
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
	v.news = true
}

// settle drops what has expired or is beyond the bound and works out the
// digest again.
func (v *verdictTable) settle(now time.Time) {
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
	v.expires = 0
	for _, verdict := range all {
		v.digest ^= digestOf(verdict)
		v.expires = verdict.GetExpiresMs()
	}
}

// list returns up to count verdicts, those that expire last first.
func (v *verdictTable) list(count int) []*rpc.Verdict {
	all := make([]*rpc.Verdict, 0, v.rows.Len())
	v.rows.Each(func(_ string, verdict *rpc.Verdict) { all = append(all, verdict) })
	slices.SortFunc(all, func(a, b *rpc.Verdict) int {
		return cmp.Or(cmp.Compare(b.GetExpiresMs(), a.GetExpiresMs()), slices.Compare(a.GetFingerprint(), b.GetFingerprint()))
	})
	return all[:min(count, len(all))]
}

// sample returns the verdicts for one message.
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

// expireVerdicts lets verdicts expire and reports that the set has changed.
func (w *World) expireVerdicts(now time.Time) {
	if w.verdicts.expires > 0 {
		if now.UnixMilli() >= w.verdicts.expires {
			w.verdicts.settle(now)
		}
		w.wake(time.UnixMilli(w.verdicts.expires))
	}
	if w.verdicts.changed {
		w.verdicts.changed = false
		w.emit(VerdictsChanged{Verdicts: w.verdicts.list(w.verdicts.rows.Len()), Digest: w.verdicts.digest})
	}
}
