package answerhead

import (
	"io"
	"net"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

// Guards against an answer that is not checked, or whose body is, on a connection in use before.
func TestEachAnswerOnAConnectionIsChecked(t *testing.T) {
	client, server := net.Pipe()
	defer client.Close()
	defer server.Close()
	conn := NewConn(client)
	exchange := func(answer string) error {
		go func() {
			_, _ = io.ReadFull(server, make([]byte, len("request")))
			_, _ = io.WriteString(server, answer)
		}()
		if _, err := io.WriteString(conn, "request"); err != nil {
			t.Fatal(err)
		}
		_, err := io.ReadFull(conn, make([]byte, len(answer)))
		return err
	}
	sound := "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\nHTTP/1.1 000 X\r\n"
	for range 2 {
		if err := exchange(sound); err != nil {
			t.Fatalf("a valid answer: %v", err)
		}
	}
	if err := exchange(strings.Replace(sound, "200", "000", 1)); !errors.Is(err, ErrInvalid) {
		t.Errorf("%v, want ErrInvalid", err)
	}
}
