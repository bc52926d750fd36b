// Package answerhead refuses heads of HTTP/1 answers (status line and header) that the HTTP libraries
// accept although they are not valid. They would be forwarded, or give a body another framing than
// its sender meant.
package answerhead

import (
	"bytes"
	"net/http"

	"github.com/pkg/errors"
)

// ErrInvalid says that the head of an answer is not valid. The request may have run.
var ErrInvalid = errors.New("the head of the answer is not valid")

var errWhitespaceInName = errors.Wrap(ErrInvalid, "whitespace in a field name")

// part is the part of a head that the next byte belongs to.
type part int

const (
	partVersion    part = iota // of the status line, up to a space
	partStatus                 // with the spaces before it
	partRestOfLine             // not checked: reason phrases and field values
	partLineStart
	partLineEnd // after a carriage return at the start of a line
	partName
	partBody // or bytes that the library refuses by itself
)

// The statuses that an answer may have (RFC 9110, section 15).
const (
	statusDigits = 3
	minStatus    = 100
	maxStatus    = 599
)

// Checker checks the heads of the answer to one request, as their bytes arrive: those of interim
// answers and the final one. The zero value is at the beginning.
type Checker struct {
	part   part
	minor  byte // the last digit of the protocol's version
	digits int  // of the status code, as far as it has come
	status int
	// matched is how many bytes of the current field name agree with transferEncoding, -1 if one
	// does not.
	matched int
}

// Begin starts with the answer to the next request.
func (c *Checker) Begin() { *c = Checker{} }

// Check checks the next bytes of the connection. It returns an error that wraps ErrInvalid if the
// head that they belong to is not valid. It passes over all that follows the final head.
func (c *Checker) Check(data []byte) error {
	for len(data) > 0 && c.part != partBody {
		rest, err := c.checkPart(data)
		if err != nil {
			return err
		}
		data = rest
	}
	return nil
}

// checkPart checks the bytes that belong to the current part, and returns the others.
func (c *Checker) checkPart(data []byte) ([]byte, error) {
	switch c.part {
	case partVersion:
		return c.skipVersion(data), nil
	case partStatus:
		return data[1:], c.addToStatus(data[0])
	case partRestOfLine:
		return c.skipLine(data), nil
	case partLineStart:
		return c.beginLine(data)
	case partLineEnd:
		c.part = partBody
		if data[0] == '\n' {
			c.endHead()
		}
		return data[1:], nil
	case partName:
		return c.skipName(data)
	}
	return nil, nil
}

// skipVersion skips the bytes before the status.
func (c *Checker) skipVersion(data []byte) []byte {
	for i, b := range data {
		switch b {
		case ' ':
			c.part = partStatus
			return data[i+1:]
		case '\n':
			c.part = partBody // no status line
			return nil
		}
		c.minor = b
	}
	return nil
}

// addToStatus adds a byte to the status code. The libraries accept any three digits, and net/http two
// with a sign. An answer below 200 would count as an interim one, so that its body is read as the next
// answer; fasthttp returns 200 for 000.
func (c *Checker) addToStatus(b byte) error {
	switch {
	case b == ' ' && c.digits == 0:
		return nil
	case (b == '+' || b == '-') && c.digits == 0:
		return errors.Wrap(ErrInvalid, "the status code has a sign")
	case b < '0' || b > '9':
		c.part = partBody // the library refuses it
		return nil
	}
	c.status = 10*c.status + int(b-'0')
	c.digits++
	if c.digits < statusDigits {
		return nil
	}
	c.part = partRestOfLine
	// No request asks to switch protocols, and what follows such an answer is not HTTP.
	if c.status < minStatus || c.status > maxStatus || c.status == http.StatusSwitchingProtocols {
		return errors.Wrapf(ErrInvalid, "status code %03d", c.status)
	}
	return nil
}

// skipLine skips the bytes up to the end of the line.
func (c *Checker) skipLine(data []byte) []byte {
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		return nil
	}
	c.part = partLineStart
	return data[end+1:]
}

// beginLine looks at the first byte of a line after the status line. The libraries join a line that
// begins with whitespace to the one before it, so that a field on it loses its meaning. A proxy may
// refuse such line folding (RFC 9112, section 5.2).
func (c *Checker) beginLine(data []byte) ([]byte, error) {
	switch data[0] {
	case '\n':
		c.endHead()
		return data[1:], nil
	case '\r':
		c.part = partLineEnd
		return data[1:], nil
	case ' ', '\t':
		return nil, errors.Wrap(ErrInvalid, "a line begins with whitespace")
	}
	c.part, c.matched = partName, 0
	return data, nil
}

// skipName skips a field name. The libraries accept spaces in it: net/http takes the field for another
// one, fasthttp ignores those at the end.
func (c *Checker) skipName(data []byte) ([]byte, error) {
	for i, b := range data {
		switch b {
		case ':':
			c.part = partRestOfLine
			if c.matched == len(transferEncoding) {
				return nil, errors.Wrap(ErrInvalid, "transfer encoding in HTTP/1.0")
			}
			return data[i+1:], nil
		case ' ':
			return nil, errors.WithStack(errWhitespaceInName)
		case '\n':
			c.part = partBody // the library refuses a line without a colon
			return nil, nil
		}
		if c.minor == '0' {
			c.matchTransferEncoding(b)
		}
	}
	return nil, nil
}

// transferEncoding is the name of a field that HTTP/1.0 does not have. The libraries ignore it there
// and take a chunked body as it comes (RFC 9112, section 6.1).
const transferEncoding = "transfer-encoding"

// matchTransferEncoding compares the next byte of a field name.
func (c *Checker) matchTransferEncoding(b byte) {
	const toLower = 'a' - 'A'
	if 'A' <= b && b <= 'Z' {
		b += toLower
	}
	if c.matched < 0 || c.matched == len(transferEncoding) || transferEncoding[c.matched] != b {
		c.matched = -1
		return
	}
	c.matched++
}

// endHead ends a head. Another one follows that of an interim answer.
func (c *Checker) endHead() {
	if c.status < http.StatusOK {
		c.Begin()
		return
	}
	c.part = partBody
}
