package telemetry

import (
	"fmt"
	"io"

	"github.com/sirupsen/logrus"
)

// timeFormat has microseconds, so that the lines of several processes can be put in order.
const timeFormat = "2006-01-02T15:04:05.000000Z07:00"

// NewLogger returns a logger that writes JSON lines of a level and above to w; an empty
// level means info.
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
