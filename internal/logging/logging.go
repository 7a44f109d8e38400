package logging

import (
	"os"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
)

// Setup directs logs to standard error as JSON lines and adds the fields that
// every line of this process carries.
func Setup(program, instance, level string) (*log.Entry, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	logger := &log.Logger{Handler: json.New(os.Stderr), Level: parsed}
	return logger.WithFields(log.Fields{"program": program, "instance": instance}), nil
}
