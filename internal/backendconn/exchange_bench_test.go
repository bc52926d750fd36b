package backendconn

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
)

// BenchmarkExchange measures a request and its answer on an open connection, with the backend
// server in the same process.
func BenchmarkExchange(b *testing.B) {
	answer := "HTTP/1.1 200 OK\r\nId: a1\r\nContent-Type: application/json\r\nDate: Mon, 02 Jan 2006 15:04:05 GMT\r\n" +
		"Replica-Id: i-00000000000000001\r\nReplica-Load: 3,0,32,100\r\nReplica-Signature: " + strings.Repeat("0f", 32) + "\r\n" +
		"Keep-Alive: timeout=5\r\nContent-Length: 900\r\n\r\n" + strings.Repeat("x", 900)
	server := serve(b, func(conn net.Conn, reader *bufio.Reader) {
		for readRequest(reader) != nil {
			if _, err := io.WriteString(conn, answer); err != nil {
				return
			}
		}
	})
	pool := NewPool()
	request := newRequest("a1")
	b.ReportAllocs()
	for b.Loop() {
		answer, err := pool.Do(b.Context(), server.address, request)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, answer); err != nil {
			b.Fatal(err)
		}
		answer.Close()
	}
}
