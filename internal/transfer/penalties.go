package transfer

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/rhubarbhill/rhubarbhill/swarm"
)

func (c cache) penaltiesPath() string { return filepath.Join(c.root, "penalties") }

// readPenalties reads the file of penalties, as far as it can be valid.
func (c cache) readPenalties() ([]byte, error) {
	file, err := os.Open(c.penaltiesPath())
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return io.ReadAll(io.LimitReader(file, swarm.MaxSavedBytes+1))
}

// restorePenalties takes in what an earlier process learned of corrupt peers. A
// damaged file is ignored: it costs a few chunks that are fetched again.
func (t *Transfer) restorePenalties() {
	data, err := t.cache.readPenalties()
	if err == nil {
		err = t.penalties.Restore(data, t.now(), time.Now())
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		t.cfg.Log.WithError(err).Warn("penalties_ignored")
	}
}

// savePenalties writes the file of penalties. The caller holds penaltiesMu.
func (t *Transfer) savePenalties() {
	data := t.penalties.Encode(t.now(), time.Now())
	if err := writeFile(t.cache.penaltiesPath(), data); err != nil {
		t.cfg.Log.WithError(err).Warn("penalties_not_saved")
	}
}
