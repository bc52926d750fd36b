package answerhead

import (
	"testing"

	"github.com/pkg/errors"
)

const body = "Content-Length: 5\r\n\r\nwhole"

// validHeads are heads, with what follows, that must not be refused.
var validHeads = []string{
	"HTTP/1.1 200 OK\r\n" + body,
	"HTTP/1.1 200\r\n" + body,
	"HTTP/1.0 599  000 \r\n" + body,
	"HTTP/1.1  201 Created\r\n" + body,
	"HTTP/1.1 200 OK\n\nHTTP/1.1 000 X\r\n",
	"HTTP/1.1 103 X\r\nLink: x\r\n\r\nHTTP/1.1 199\r\n\r\nHTTP/1.1 404 Not Found\r\n\r\nHTTP/1.1 000 X\r\n",
	"HTTP/1.1 200 OK\r\na:b\r\nX-Odd: c : d \r\nX-None:\r\n\r\nno head : x\r\n x\r\n",
	"HTTP/1.1 200 OK\r\nno-field\x00:\r\n" + body, "HTTP/1.1 200 OK\r\nno-field\r\nX Odd: v\r\n",
	"HTTP/1.0 200 OK\r\ntransfer-encodin: x\r\ntransfer-encodings: x\r\nx: transfer-encoding: x\r\n" + body,
	"HTTP/1.0 103 X\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX-Odd", "HTTP/1.1 200 OK\r\n\rX Odd: v\r\n",
	"", "HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1 20",
	"no answer\r\n000 \r\n", "HTTP/1.1 2x0 X\r\n", "HTTP/1.1\r\n000 X", // which the libraries refuse
}

// invalidHeads are heads that must be refused.
var invalidHeads = []string{
	"HTTP/1.1 000 X\r\n" + body,
	"HTTP/1.1 099 X\r\n" + body,
	"HTTP/1.0 000\n\n",
	"HTTP/1.1  001 X\r\n" + body,
	"HTTP/1.1 101 Switching Protocols\r\n\r\n",
	"HTTP/1.1 600 X\r\n" + body,
	"HTTP/1.1 999 X\r\n" + body,
	"HTTP/1.1 -00 X\r\n" + body,
	"HTTP/1.1 +20 X\r\n" + body,
	"HTTP/1.1 103 X\r\nLink: x\r\n\r\nHTTP/1.1 000 X\r\n" + body,
	"HTTP/1.1 103 X\n\nHTTP/1.1 101 X\n\n",
	"HTTP/1.1 200 OK\r\nX Odd: v\r\n" + body,
	"HTTP/1.1 200 OK\r\nX-Odd : v\r\n" + body,
	"HTTP/1.1 200 OK\r\n X-Odd: v\r\n" + body,
	"HTTP/1.1 200 OK\r\nX-Odd: v\r\n\tmore\r\n" + body,
	"HTTP/1.1 200 OK\nX-Odd: v\n more",
	"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding ",
	"HTTP/1.0 200 OK\r\nX-Odd: v\r\nTransfer-Encoding: chunked\r\n\r\n",
	"HTTP/1.1 103 X\r\n\r\nHTTP/1.0 200 OK\nTRANSFER-encoding:\n\n",
	"HTTP/1.1 103 X\r\nX Odd: v\r\n\r\nHTTP/1.1 200 OK\r\n" + body,
	"HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK\r\nX-Odd : v\r\n" + body,
}

// checkParts checks a text that comes in parts of a length.
func checkParts(text string, length int) error {
	var checker Checker
	for ; len(text) > length; text = text[length:] {
		if err := checker.Check([]byte(text[:length])); err != nil {
			return err
		}
	}
	return checker.Check([]byte(text))
}

// Guards against a head that is refused, or passes, depending on how its bytes arrive.
func TestHeadsInParts(t *testing.T) {
	for length := 1; length < 100; length++ {
		for _, head := range validHeads {
			if err := checkParts(head, length); err != nil {
				t.Errorf("parts of %d, %q: %v", length, head, err)
			}
		}
		for _, head := range invalidHeads {
			if err := checkParts(head, length); !errors.Is(err, ErrInvalid) {
				t.Errorf("parts of %d, %q: %v, want ErrInvalid", length, head, err)
			}
		}
	}
}
