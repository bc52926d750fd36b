// Package eventstream finds the ends of events in streams of server-sent events
// (text/event-stream, WHATWG HTML section 9.2).
package eventstream

import "bytes"

// Scanner finds the ends of events in a stream that it is given piece by piece. An event is
// a group of lines that ends with a blank one; lines end with LF, CRLF or CR. Its zero value
// is ready to use.
type Scanner struct {
	lineBytes bool // the current line has bytes
	comment   bool // the current line is a comment
	fields    bool // the current event has lines other than comments
	events    bool // an event has ended
	blank     bool // the last line was blank

	afterCR  bool // the last byte was a CR, which an LF may follow
	singleCR bool // lines of the stream end with a CR alone
}

// Scan scans the next bytes of the stream. It returns how many of them, up to a blank line,
// belong to groups of lines that have ended. A CR at the end of data counts to the rest if an
// LF may follow that belongs to it.
func (s *Scanner) Scan(data []byte) int {
	ended := 0
	for i, b := range data {
		switch {
		case b == '\n' && s.afterCR:
			s.afterCR = false
		case b == '\n':
			s.endLine()
		case b == '\r':
			s.resolveCR()
			s.endLine()
			s.afterCR = true
		default:
			s.resolveCR()
			s.addByte(b)
		}
		if s.blank && s.Whole() {
			ended = i + 1
		}
	}
	return ended
}

// resolveCR notes that no LF follows the previous CR, if that was the last byte.
func (s *Scanner) resolveCR() {
	if s.afterCR {
		s.afterCR, s.singleCR = false, true
	}
}

func (s *Scanner) addByte(b byte) {
	if !s.lineBytes {
		s.lineBytes, s.comment = true, b == ':'
	}
}

func (s *Scanner) endLine() {
	switch {
	case !s.lineBytes && s.fields:
		s.fields, s.events = false, true
	case s.lineBytes && !s.comment:
		s.fields = true
	}
	s.blank = !s.lineBytes
	s.lineBytes = false
}

// Whole reports whether the stream may end here: no event and no line is in progress. So may
// an empty one.
func (s *Scanner) Whole() bool {
	return !s.fields && !s.lineBytes && (!s.afterCR || s.singleCR)
}

// InsideEvent reports whether an event has begun and not ended.
func (s *Scanner) InsideEvent() bool { return s.fields || s.lineBytes && !s.comment }

// Events reports whether an event has ended.
func (s *Scanner) Events() bool { return s.events }

// LastID returns the ID of the last event that has one, "" if none has. The events must be
// complete.
func LastID(events []byte) string {
	const field = "id:"
	at := max(bytes.LastIndex(events, []byte("\n"+field)), bytes.LastIndex(events, []byte("\r"+field)))
	switch {
	case at >= 0:
		at += 1 + len(field)
	case bytes.HasPrefix(events, []byte(field)):
		at = len(field)
	default:
		return ""
	}
	line := events[at:]
	if end := bytes.IndexAny(line, "\r\n"); end >= 0 {
		line = line[:end]
	}
	return string(bytes.TrimSpace(line))
}

// eventFields are the beginnings of the lines of events.
var eventFields = []string{"id:", "data:", "event:", "retry:"}

// BeginsEvent reports whether the first line of the data is one of an event, for a stream that
// does not state its type.
func BeginsEvent(data []byte) bool {
	for _, field := range eventFields {
		if bytes.HasPrefix(data, []byte(field)) {
			return true
		}
	}
	return false
}
