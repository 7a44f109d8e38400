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

// readPenalties reads the penalties file. It reads at most one byte more than the
// largest valid size, so that Restore rejects an oversized file.
func (c cache) readPenalties() ([]byte, error) {
	file, err := os.Open(c.penaltiesPath())
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return io.ReadAll(io.LimitReader(file, swarm.MaxSavedBytes+1))
}

// restorePenalties restores the penalties that an earlier process gave to peers
// for corrupt chunks. A damaged file is ignored, at the cost of fetching a few
// more corrupt chunks from those peers.
func (t *Transfer) restorePenalties() {
	data, err := t.cache.readPenalties()
	if err == nil {
		err = t.penalties.Restore(data, t.now(), time.Now())
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		t.cfg.Log.WithError(err).Warn("penalties_ignored")
	}
}

// savePenalties writes the penalties file. The caller must hold penaltiesMu.
func (t *Transfer) savePenalties() {
	data := t.penalties.Encode(t.now(), time.Now())
	if err := writeFile(t.cache.penaltiesPath(), data); err != nil {
		t.cfg.Log.WithError(err).Warn("penalties_not_saved")
	}
}
