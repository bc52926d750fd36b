package daemon

import (
	"io"

	"github.com/sirupsen/logrus"
)

// timestampFormat has milliseconds, as the order and distance of records within a
// second tell causes from effects.
const timestampFormat = "2006-01-02T15:04:05.000Z07:00"

// NewLogger returns a logger that writes to out with the configured level and format.
func NewLogger(config LogSection, out io.Writer) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(out)
	if level, err := logrus.ParseLevel(config.Level); err == nil {
		logger.SetLevel(level)
	}
	if config.Format != "text" {
		logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timestampFormat})
	}
	return logger
}
