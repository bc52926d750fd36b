package backendconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/answerhead"
)

// endless writes the beginning and then the part until the connection is closed. It pauses
// between, so that a reader without a bound does not fill the memory of the test.
func endless(conn net.Conn, beginning, part string) {
	_, err := io.WriteString(conn, beginning)
	for err == nil {
		_, err = io.WriteString(conn, part)
		time.Sleep(time.Millisecond)
	}
}

// wantTooLarge checks that the request ends with ErrAnswerTooLarge while its caller still waits.
func wantTooLarge(t *testing.T, handle func(conn net.Conn, reader *bufio.Reader)) {
	t.Helper()
	wantGivenUp(t, ErrAnswerTooLarge, handle)
}

// wantGivenUp checks that the request ends with the error while its caller still waits.
func wantGivenUp(t *testing.T, want error, handle func(conn net.Conn, reader *bufio.Reader)) {
	t.Helper()
	server := serve(t, handle)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	pool := NewPool()
	answer, err := pool.Do(ctx, server.address, newRequest("1"))
	if err == nil {
		answer.Close()
	}
	if !errors.Is(err, want) || ctx.Err() != nil || ProgressOf(err) != ProgressSent {
		t.Errorf("%v, progress %v, context %v; want %q at once", err, ProgressOf(err), ctx.Err(), want)
	}
	if open := pool.Open(server.address); open != 0 {
		t.Errorf("%d connections are kept", open)
	}
}

// Guards against a head without end, which takes the process over its memory.
func TestHeadWithoutEndIsGivenUp(t *testing.T) {
	long := strings.Repeat("x", 16<<10)
	for name, c := range map[string]struct{ beginning, part string }{
		"status line":       {"HTTP/1.1 200 ", long},
		"no line at all":    {"", long},
		"field name":        {"HTTP/1.1 200 OK\r\n", long},
		"field value":       {"HTTP/1.1 200 OK\r\nX-Fill: ", long},
		"many fields":       {"HTTP/1.1 200 OK\r\n", strings.Repeat("X-Fill: x\r\n", 512)},
		"many short fields": {"HTTP/1.1 200 OK\n", strings.Repeat("a:\nb:\n", 256)},
		"interim answer":    {"HTTP/1.1 103 Early Hints\r\nX-Fill: ", long},
		"interim answers":   {"", "HTTP/1.1 103 Early Hints\r\nX-Fill: " + long + "\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			wantTooLarge(t, func(conn net.Conn, reader *bufio.Reader) {
				readRequest(reader)
				endless(conn, c.beginning, c.part)
			})
		})
	}
}

// Guards against a folded field without end, which takes the process over its memory.
func TestFoldedFieldWithoutEndIsGivenUp(t *testing.T) {
	wantGivenUp(t, answerhead.ErrInvalid, func(conn net.Conn, reader *bufio.Reader) {
		readRequest(reader)
		endless(conn, "HTTP/1.1 200 OK\r\nX-Fill: x\r\n", strings.Repeat(" x\r\n", 512))
	})
}

// Guards against a head without end that counts as malformed, which is taken for a crash of the
// server, if its bound is reached within a line.
func TestBoundOfAHeadIsReachedWithinALine(t *testing.T) {
	for length := range 32 {
		c := newConn(nil)
		line := "X-Fill: " + strings.Repeat("x", length) + "\r\n"
		c.limiter.reader = strings.NewReader("HTTP/1.1 200 OK\r\n" + strings.Repeat(line, 2*maxHeadLines))
		if _, err := readHead(c, newRequest("1")); !errors.Is(err, ErrAnswerTooLarge) {
			t.Errorf("values of %d bytes: %v, want ErrAnswerTooLarge", length, err)
		}
	}
}

// Guards against log records as long as what a server sends in place of a head.
func TestErrorsQuoteLittleOfAHead(t *testing.T) {
	long := strings.Repeat("\x01\xff", maxHeadBytes/4)
	for name, text := range map[string]string{
		"no answer":   long + "\r\n\r\n",
		"status":      "HTTP/1.1 " + long + "\r\n\r\n",
		"version":     "HTTP/" + long + " 200 OK\r\n\r\n",
		"field":       "HTTP/1.1 200 OK\r\n" + long + "\r\n\r\n",
		"length":      "HTTP/1.1 200 OK\r\nContent-Length: " + strings.Repeat("9", maxHeadBytes/2) + "\r\n\r\n",
		"transfer":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + strings.Repeat("x", maxHeadBytes/2) + "\r\n\r\n",
		"two lengths": "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: " + strings.Repeat("9", maxHeadBytes/2) + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			server := serve(t, func(conn net.Conn, reader *bufio.Reader) {
				readRequest(reader)
				io.WriteString(conn, text)
			})
			if _, err := exchange(t, NewPool(), server.address, newRequest("1")); err == nil || len(err.Error()) > 512 {
				t.Errorf("an error of %d bytes, want 512 at most", len(fmt.Sprint(err)))
			}
		})
	}
}

// Guards against a caller that waits out its deadline while an answer to another request, which
// has no end, is skipped.
func TestStrayAnswerWithoutEndIsGivenUp(t *testing.T) {
	part := strings.Repeat("x", 64<<10)
	for name, c := range map[string]struct{ beginning, part string }{
		"ends with its connection": {"HTTP/1.1 200 OK\r\nId: 0\r\n\r\n", part},
		"length":                   {"HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 9000000000\r\n\r\n", part},
		"chunks":                   {"HTTP/1.1 200 OK\r\nId: 0\r\nTransfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(part), part)},
	} {
		t.Run(name, func(t *testing.T) {
			wantTooLarge(t, func(conn net.Conn, reader *bufio.Reader) {
				readRequest(reader)
				endless(conn, c.beginning, c.part)
			})
		})
	}
}

// Guards against the parts of a chunked body that are no data, without end, which take the
// process over its memory or hold the caller until its deadline.
func TestChunkFramingWithoutEndIsAnError(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	long := strings.Repeat("x", 16<<10)
	for name, c := range map[string]struct{ beginning, part string }{
		"chunk size":       {head, strings.Repeat("0", 16<<10)},
		"chunk extension":  {head + "4;a=", long},
		"chunk extensions": {head, "1;a=" + strings.Repeat("x", 3000) + "\r\nx\r\n"},
		"trailer":          {head + "0\r\nX-Fill: ", long},
		"trailers":         {head + "0\r\n", "X-Fill: x\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			server := serve(t, func(conn net.Conn, reader *bufio.Reader) {
				readRequest(reader)
				endless(conn, c.beginning, c.part)
			})
			began := time.Now()
			if body, err := exchange(t, NewPool(), server.address, newRequest("1")); err == nil || time.Since(began) > 2*time.Second {
				t.Errorf("%d bytes, %v after %v; want an error at once", len(body), err, time.Since(began))
			}
		})
	}
}

// Guards against a bound that counts the body, or an earlier answer on the connection, towards
// the head.
func TestLongHeadIsAccepted(t *testing.T) {
	body := strings.Repeat("\n", 4*maxHeadLines)
	var lines strings.Builder
	for i := range maxHeadLines - 4 {
		fmt.Fprintf(&lines, "X-Line-%d: x\r\n", i)
	}
	for name, header := range map[string]string{
		"bytes": "X-Fill: " + strings.Repeat("x", maxHeadBytes-100) + "\r\n",
		"lines": lines.String(),
	} {
		t.Run(name, func(t *testing.T) {
			server := serve(t, func(conn net.Conn, reader *bufio.Reader) {
				for request := readRequest(reader); request != nil; request = readRequest(reader) {
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", request.Header.Get("Id"), header, len(body), body)
				}
			})
			pool := NewPool()
			for _, id := range []string{"1", "2"} {
				if got, err := exchange(t, pool, server.address, newRequest(id)); err != nil || got != body {
					t.Errorf("%d bytes, %v; want the whole answer", len(got), err)
				}
			}
		})
	}
}
