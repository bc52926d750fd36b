// Package event defines and writes the numbered log events of the system. docs/EVENTS.md is
// their catalogue; a test compares the two.
package event

import (
	"github.com/sirupsen/logrus"
)

// Event is one kind of log record.
type Event struct {
	Number  int          // never reused
	Level   logrus.Level // level at which it is written
	Message string       // constant text; details go into fields
}

// Log writes the event with its number and the fields.
func (e Event) Log(logger logrus.FieldLogger, fields logrus.Fields) {
	entry := logger.WithFields(fields).WithField("event", e.Number)
	switch e.Level {
	case logrus.ErrorLevel:
		entry.Error(e.Message)
	case logrus.WarnLevel:
		entry.Warn(e.Message)
	case logrus.DebugLevel:
		entry.Debug(e.Message)
	default:
		entry.Info(e.Message)
	}
}
