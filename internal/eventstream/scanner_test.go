package eventstream

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

var lineEnds = []string{"\n", "\r\n", "\r"}

// Guards against an event that is taken for complete, or for broken, because of how its lines
// end or where the stream was cut into pieces.
func TestStreamIsWholeOnlyBetweenEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lineEnd := rapid.SampledFrom(lineEnds).Draw(t, "line end")
		groups := rapid.SliceOfN(rapid.SampledFrom([]string{"id: 1\ndata: a\n\n", "data\n\n", ": comment\n", "\n", "event: x\n: comment\ndata: b\n\n"}), 1, 5).Draw(t, "groups")
		var stream string
		whole := map[int]bool{0: true}
		for _, group := range groups {
			stream += strings.ReplaceAll(group, "\n", lineEnd)
			whole[len(stream)] = true
		}
		cut := rapid.IntRange(0, len(stream)).Draw(t, "cut")
		var scanner Scanner
		ended := 0
		for at := 0; at < cut; {
			next := rapid.IntRange(at+1, cut).Draw(t, "next")
			if n := scanner.Scan([]byte(stream[at:next])); n > 0 {
				ended = at + n
			}
			at = next
		}
		if got := scanner.Whole(); got != whole[cut] && !undecided(stream[:cut], lineEnd) {
			t.Errorf("%q: whole %v, want %v", stream[:cut], got, whole[cut])
		}
		if !whole[ended] && !undecided(stream[:ended], lineEnd) {
			t.Errorf("%q: the events were taken to end after %q", stream[:cut], stream[:ended])
		}
	})
}

// undecided reports whether the text ends in a CR, and nothing tells whether an LF belongs
// to it: no line before ended with a CR alone.
func undecided(text, lineEnd string) bool {
	return strings.HasSuffix(text, "\r") && (lineEnd == "\r" && !strings.Contains(strings.TrimSuffix(text, "\r"), "\r"))
}

func TestScanEndsWithTheLastCompleteEvent(t *testing.T) {
	for _, c := range []struct {
		stream string
		ended  int
		whole  bool
	}{
		{"", 0, true},
		{"id: 1\ndata: a\n\n", 15, true},
		{"id: 1\ndata: a\n", 0, false},
		{"id: 1\ndata: a\n\nid", 15, false},
		{"id: 1\r\ndata: a\r\n\r\n", 18, true},
		{"id: 1\r\ndata: a\r\n\r", 0, false}, // the LF of the blank line is missing
		{"id: 1\rdata: a\r\r", 15, true},
		{": comment\n", 0, true},
		{": comment\n\n", 11, true},
		{": comment", 0, false},
		{"\n\n", 2, true},
		{"data: a\n\n: end\n", 9, true},
		{"data: a\n: comment\n", 0, false},
	} {
		var scanner Scanner
		if ended := scanner.Scan([]byte(c.stream)); ended != c.ended || scanner.Whole() != c.whole {
			t.Errorf("%q: ended %d, whole %v; want %d, %v", c.stream, ended, scanner.Whole(), c.ended, c.whole)
		}
	}
}

func TestLastID(t *testing.T) {
	for events, want := range map[string]string{
		"":                                  "",
		"data: a\n\n":                       "",
		"id: 1\ndata: a\n\nid:2\n\n":        "2",
		"id: 1\r\n\r\nid: 2\r\ndata: a\r\n": "2",
		"id: 1\r\rid: 2\rdata: id: 3\r\r":   "2",
		"id: 1\n\ndata: b\n\n":              "1",
	} {
		if got := LastID([]byte(events)); got != want {
			t.Errorf("%q: %q, want %q", events, got, want)
		}
	}
}

func BenchmarkScan(b *testing.B) {
	events := []byte(strings.Repeat("id: 12\ndata: "+strings.Repeat("x", 60)+"\n\n", 10))
	b.SetBytes(int64(len(events)))
	for b.Loop() {
		var scanner Scanner
		scanner.Scan(events)
	}
}
