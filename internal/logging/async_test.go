package logging

import (
	"bytes"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"
)

// blockedWriter blocks every write until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	data    bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.data.Write(p)
}

// Guards against a process that blocks on its log output, and against dropped
// lines that are not counted in the log.
func TestAsyncHandlerDoesNotBlock(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	b := NewAsyncHandler(out)
	logger := &log.Logger{Handler: b, Level: log.InfoLevel}
	const lines = 3 * maxQueuedLines
	done := make(chan struct{})
	go func() {
		for range lines {
			logger.WithField("request", "id").Info("request_ended")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("logging blocks on its output")
	}
	close(out.release)
	b.Close()
	written, dropped := 0, 0
	for _, line := range bytes.Split(bytes.TrimSpace(out.data.Bytes()), []byte("\n")) {
		var l struct {
			Message string `json:"message"`
			Fields  struct {
				Lines int `json:"lines"`
			} `json:"fields"`
		}
		is.NoErr(json.Unmarshal(line, &l))
		if l.Message == "log_lines_dropped" {
			dropped += l.Fields.Lines
		} else {
			written++
		}
	}
	is.True(dropped > 0)
	is.Equal(written+dropped, lines)
}
