package daemon

import (
	"io"

	"github.com/sirupsen/logrus"
)

// NewLogger returns a logger that writes to out with the configured level and format.
func NewLogger(config LogSection, out io.Writer) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(out)
	if level, err := logrus.ParseLevel(config.Level); err == nil {
		logger.SetLevel(level)
	}
	if config.Format != "text" {
		logger.SetFormatter(&logrus.JSONFormatter{})
	}
	return logger
}
