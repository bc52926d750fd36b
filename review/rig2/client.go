package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// attempt is one request of a client.
type attempt struct {
	id     string
	method string
	path   string
	header [][2]string
	body   string
}

// encode returns the request as it is sent.
func (a *attempt) encode() []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: recipes.example\r\n%s: %s\r\n", a.method, a.path, headerAttempt, a.id)
	for _, field := range a.header {
		fmt.Fprintf(&out, "%s: %s\r\n", field[0], field[1])
	}
	fmt.Fprintf(&out, "Content-Length: %d\r\n\r\n%s", len(a.body), a.body)
	return out.Bytes()
}

// result is what the client got.
type result struct {
	status   int
	header   http.Header
	body     string
	answered bool // any byte of an answer has come
	complete bool
	last     bool // the connection can't be used again
	err      error
}

func (r *result) String() string {
	switch {
	case !r.answered:
		return fmt.Sprintf("closed without an answer (%v)", r.err)
	case !r.complete:
		return fmt.Sprintf("%d, cut off (%v)", r.status, r.err)
	}
	return fmt.Sprintf("%d", r.status)
}

// connection is a client's connection to a gate.
type connection struct {
	net.Conn
	reader *bufio.Reader
	sent   int // requests
}

func dial(address string) (*connection, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// send sends the request and reads the answer, for as long as the client waits.
func (c *connection) send(a *attempt, limit time.Duration) *result {
	c.sent++
	got := &result{last: true}
	_ = c.SetDeadline(time.Now().Add(limit)) // fails if it is closed; then the write fails too
	if _, got.err = c.Write(a.encode()); got.err != nil {
		return got
	}
	if _, got.err = c.reader.Peek(1); got.err != nil {
		return got
	}
	got.answered = true
	response, err := http.ReadResponse(c.reader, &http.Request{Method: a.method})
	if err != nil {
		got.err = err
		return got
	}
	got.status, got.header = response.StatusCode, response.Header
	var body strings.Builder
	_, got.err = io.Copy(&body, response.Body)
	got.body, got.complete = body.String(), got.err == nil
	got.last = response.Close || !got.complete
	return got
}
