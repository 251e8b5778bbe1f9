package telemetry

import (
	"fmt"
	"io"

	"github.com/sirupsen/logrus"
)

// timeFormat orders the lines of several processes within a second.
const timeFormat = "2006-01-02T15:04:05.000000Z07:00"

// NewLogger returns a logger that writes JSON lines at a level to w.
func NewLogger(w io.Writer, level string) (*logrus.Logger, error) {
	if level == "" {
		level = "info"
	}
	l, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log_level %q is not known; use debug, info, warning or error", level)
	}
	log := logrus.New()
	log.SetOutput(w)
	log.SetLevel(l)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timeFormat, FieldMap: logrus.FieldMap{logrus.FieldKeyMsg: "message"}})
	return log, nil
}
