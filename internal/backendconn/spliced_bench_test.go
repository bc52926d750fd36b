package backendconn

import (
	"net/http"
	"strings"
	"testing"
)

// BenchmarkSpliced measures the search of an ordinary head for the beginning of another answer.
func BenchmarkSpliced(b *testing.B) {
	response := &http.Response{Status: "200 OK", Header: http.Header{
		"Id": {"a1"}, "Content-Type": {"application/json"}, "Date": {"Mon, 02 Jan 2006 15:04:05 GMT"},
		"Replica-Id": {"i-00000000000000001"}, "Replica-Load": {"3,0,32,100"}, "Replica-Signature": {strings.Repeat("0f", 32)},
		"Keep-Alive": {"timeout=5"}, "Content-Length": {"900"},
	}}
	b.ReportAllocs()
	for b.Loop() {
		if spliced(response) {
			b.Fatal("an ordinary head")
		}
	}
}
