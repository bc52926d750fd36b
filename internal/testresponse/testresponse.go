// Package testresponse provides tests with HTTP/1 responses in each framing, and with servers that
// break them off.
package testresponse

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// Response is a response as it is sent.
type Response struct {
	Name string
	Head string // with the empty line
	Body string // with the marks of its framing
	// Marked says that the framing marks the end of the body. Otherwise it ends with the connection.
	Marked bool
}

// Bytes returns the complete response.
func (r Response) Bytes() string { return r.Head + r.Body }

// Framed returns a response with the body under each framing, with the framing's header field before
// and after the others. There is at least one other; each is a line without its end.
func Framed(status int, body string, fields ...string) []Response {
	half := len(body) / 2
	chunks := chunk(body[:half]) + chunk(body[half:])
	var responses []Response
	for _, framing := range []struct {
		name, proto, field, body string
		marked                   bool
	}{
		{"length", "HTTP/1.1", fmt.Sprintf("Content-Length: %d", len(body)), body, true},
		{"length of HTTP/1.0", "HTTP/1.0", fmt.Sprintf("Content-Length: %d", len(body)), body, true},
		{"chunks", "HTTP/1.1", "Transfer-Encoding: chunked", chunks + "0\r\n\r\n", true},
		{"chunks with trailer", "HTTP/1.1", "Trailer: Sum\r\nTransfer-Encoding: chunked", chunks + "0\r\nSum: 12\r\n\r\n", true},
		{"close", "HTTP/1.1", "Connection: close", body, false},
		{"close of HTTP/1.0", "HTTP/1.0", "Connection: close", body, false},
	} {
		statusLine := fmt.Sprintf("%s %d %s\r\n", framing.proto, status, http.StatusText(status))
		others := strings.Join(fields, "\r\n")
		for _, header := range []string{framing.field + "\r\n" + others, others + "\r\n" + framing.field} {
			responses = append(responses, Response{
				Name:   fmt.Sprintf("%d, %s", len(responses), framing.name),
				Head:   statusLine + header + "\r\n\r\n",
				Body:   framing.body,
				Marked: framing.marked,
			})
		}
	}
	return responses
}

func chunk(data string) string {
	if data == "" {
		return ""
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(data), data)
}

// End is what a server does with a connection after a response.
type End int

// The ends.
const (
	Keep End = iota
	Close
	Reset
)

// Serve starts a server that answers each request with the bytes that respond returns. It runs until
// the test ends.
func Serve(t testing.TB, respond func(request *http.Request) (string, End)) fleet.Address {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn), respond)
		}
	}()
	return fleet.Address(listener.Addr().String())
}

func serve(conn *net.TCPConn, respond func(request *http.Request) (string, End)) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		data, end := respond(request)
		if _, err := io.WriteString(conn, data); err != nil {
			return
		}
		switch end {
		case Reset:
			_ = conn.SetLinger(0) // fails only on a closed connection
			return
		case Close:
			return
		}
	}
}
