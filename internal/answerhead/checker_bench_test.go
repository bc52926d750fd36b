package answerhead

import (
	"strings"
	"testing"
)

// BenchmarkCheck measures the check of a usual head, with a part of the body behind it.
func BenchmarkCheck(b *testing.B) {
	head := []byte("HTTP/1.1 200 OK\r\nId: a1\r\nContent-Type: application/json\r\nDate: Mon, 02 Jan 2006 15:04:05 GMT\r\n" +
		"Replica-Id: i-00000000000000001\r\nReplica-Load: 3,0,32,100\r\nReplica-Signature: " + strings.Repeat("0f", 32) + "\r\n" +
		"Keep-Alive: timeout=5\r\nContent-Length: 900\r\n\r\n" + strings.Repeat("x", 900))
	var checker Checker
	for b.Loop() {
		checker.Begin()
		if err := checker.Check(head); err != nil {
			b.Fatal(err)
		}
	}
}
