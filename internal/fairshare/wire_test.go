package fairshare

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// What one end writes the other reads, also while their settings differ and
// when two accounts can't be told apart by the hash.
func TestMessagesKeepReportsAndReplies(t *testing.T) {
	known := []fleet.Account{"org/a", "org/b", "org/c"}
	clashes := NewNames(known)
	clashes.clashing["org/c"] = true
	rapid.Check(t, func(t *rapid.T) {
		report := Report{Sequence: 7, VirtualTime: 1234.5}
		for _, name := range append(known, "org/new") {
			if rapid.Bool().Draw(t, "listed") {
				report.Charges = append(report.Charges, Charge{
					Account:  name,
					Total:    Units(rapid.IntRange(0, 1<<40).Draw(t, "total")),
					InFlight: Units(rapid.IntRange(0, 10_000).Draw(t, "in flight")),
					Waiting:  rapid.Bool().Draw(t, "waiting"),
					Known:    Units(rapid.IntRange(0, 1<<40).Draw(t, "known")) / clockScale,
				})
			}
		}
		request := clashes.EncodeReport(report)
		got := clashes.DecodeReport(request)
		byName := func(a, b Charge) int { return strings.Compare(string(a.Account), string(b.Account)) }
		slices.SortFunc(got.Charges, byName)
		slices.SortFunc(report.Charges, byName)
		if !reflect.DeepEqual(got, report) {
			t.Fatalf("read %+v, written %+v", got, report)
		}
		reply := Reply{VirtualTime: 99.5}
		for i, charge := range report.Charges {
			reply.Totals = append(reply.Totals, Total{Account: charge.Account, Clock: charge.Known, Agents: i + 1, Place: i})
		}
		read := clashes.DecodeReply(request, clashes.EncodeReply(request, reply))
		slices.SortFunc(read.Totals, func(a, b Total) int { return strings.Compare(string(a.Account), string(b.Account)) })
		if !reflect.DeepEqual(read, reply) {
			t.Fatalf("read %+v, written %+v", read, reply)
		}
		if old := NewNames(known[:1]).DecodeReport(request); len(old.Charges) > len(report.Charges) {
			t.Fatalf("an end with older settings reads %+v", old)
		}
	})
}

// BenchmarkReportBytes gives the bytes of one report and its reply, without
// the call's headers, by the number of active accounts.
func BenchmarkReportBytes(b *testing.B) {
	for _, accounts := range []int{1, 5, 16, 57, 170} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			var names []fleet.Account
			report := Report{Sequence: 100_000, VirtualTime: 1e8}
			reply := Reply{VirtualTime: 1e8}
			for i := range accounts {
				name := fleet.Account(fmt.Sprintf("organisation/team-%d/account-%d", i%8, i))
				names = append(names, name)
				report.Charges = append(report.Charges, Charge{Account: name, Total: 5_000_000, InFlight: 900, Waiting: true})
				reply.Totals = append(reply.Totals, Total{Account: name, Clock: 1e8, Agents: 20, Place: i % 20})
			}
			table := NewNames(names)
			envelope := &rpc.Envelope{Sender: "10.20.30.40:7001", Incarnation: 1_790_000_000_000_000_000, SettingsRevision: 300, MembersVersion: 5000}
			var out, in int
			for b.Loop() {
				request := table.EncodeReport(report)
				request.Envelope, request.Service = envelope, "uppskrift-lm"
				answer := table.EncodeReply(request, reply)
				answer.Envelope = envelope
				out, in = proto.Size(request), proto.Size(answer)
			}
			b.ReportMetric(float64(out), "request-bytes")
			b.ReportMetric(float64(in), "reply-bytes")
		})
	}
}
