package transfer

import (
	"encoding/json"
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/samber/oops"

	"github.com/rhubarbhill/rhubarbhill/manifest"
	"github.com/rhubarbhill/rhubarbhill/release"
)

const (
	dirMode  = 0o755
	fileMode = 0o644

	partialSuffix = ".partial"
	oldSuffix     = ".old"
	tempPrefix    = ".tmp-"
)

// cache reads and writes the cache directory; see the package documentation for
// its layout.
type cache struct {
	root string
}

func openCache(root string) (cache, error) {
	c := cache{root: root}
	for _, dir := range []string{"manifests", "versions", "sets", "index"} {
		if err := os.MkdirAll(filepath.Join(root, dir), dirMode); err != nil {
			return c, oops.In("transfer").Wrap(err)
		}
	}
	return c, nil
}

func (c cache) manifestPath(d release.Digest) string {
	return filepath.Join(c.root, "manifests", d.Hex())
}

func (c cache) versionDir(d release.Digest) string {
	return filepath.Join(c.root, "versions", d.Hex())
}

func (c cache) partialDir(d release.Digest) string { return c.versionDir(d) + partialSuffix }
func (c cache) oldDir(d release.Digest) string     { return c.versionDir(d) + oldSuffix }
func (c cache) setDir(id string) string            { return filepath.Join(c.root, "sets", id) }
func (c cache) indexPath(id string) string         { return filepath.Join(c.root, "index", id+".json") }

// writeFile replaces a file atomically, by writing a temporary file and renaming
// it.
func writeFile(path string, data []byte) error {
	temp := filepath.Join(filepath.Dir(path), tempPrefix+filepath.Base(path))
	if err := os.WriteFile(temp, data, fileMode); err != nil {
		return oops.In("transfer").Wrap(err)
	}
	return oops.In("transfer").Wrap(os.Rename(temp, path))
}

// readManifest reads a cached manifest and checks it against its digest.
func (c cache) readManifest(d release.Digest) (manifest.Manifest, error) {
	data, err := os.ReadFile(c.manifestPath(d))
	if err != nil {
		return manifest.Manifest{}, err
	}
	return manifest.Decode(data, d)
}

// cachedManifests returns the digests of all cached manifests.
func (c cache) cachedManifests() []release.Digest {
	entries, _ := os.ReadDir(filepath.Join(c.root, "manifests"))
	var list []release.Digest
	for _, e := range entries {
		if d := release.Digest("sha256:" + e.Name()); manifest.ValidDigest(d) {
			list = append(list, d)
		}
	}
	return list
}

// writeIndex stores the description of an assembled set, which prune needs after
// a restart to find the versions that the set uses.
func (c cache) writeIndex(set release.WeightsSet) error {
	data, err := json.Marshal(set)
	if err != nil {
		return oops.In("transfer").Wrap(err)
	}
	return writeFile(c.indexPath(set.ID()), data)
}

func (c cache) readIndex(id string) (release.WeightsSet, bool) {
	var set release.WeightsSet
	data, err := os.ReadFile(c.indexPath(id))
	return set, err == nil && json.Unmarshal(data, &set) == nil && set.ID() == id
}

// assemble creates the directory of a set with hard links to the files of its
// versions, which must be complete.
func (c cache) assemble(id string, versions []*version) (string, error) {
	dir := c.setDir(id)
	if c.isAssembled(dir, versions) {
		return dir, nil
	}
	temp := c.setDir(tempPrefix + id)
	if err := os.RemoveAll(temp); err != nil {
		return "", oops.In("transfer").Wrap(err)
	}
	for _, v := range versions {
		for _, f := range v.files {
			if err := hardLink(v.filePath(f.name), filepath.Join(temp, filepath.FromSlash(f.name))); err != nil {
				return "", oops.In("transfer").Wrap(err)
			}
		}
	}
	if err := os.RemoveAll(dir); err != nil {
		return "", oops.In("transfer").Wrap(err)
	}
	return dir, oops.In("transfer").Wrap(os.Rename(temp, dir))
}

// isAssembled reports whether dir contains hard links to the files of the versions
// and nothing else.
func (c cache) isAssembled(dir string, versions []*version) bool {
	files := 0
	for _, v := range versions {
		for _, f := range v.files {
			files++
			a, errA := os.Stat(v.filePath(f.name))
			b, errB := os.Stat(filepath.Join(dir, filepath.FromSlash(f.name)))
			if errA != nil || errB != nil || !os.SameFile(a, b) {
				return false
			}
		}
	}
	found := 0
	err := filepath.WalkDir(dir, func(_ string, e fs.DirEntry, err error) error {
		if err == nil && !e.IsDir() {
			found++
		}
		return err
	})
	return err == nil && found == files
}

func hardLink(from, to string) error {
	if err := os.MkdirAll(filepath.Dir(to), dirMode); err != nil {
		return err
	}
	return os.Link(from, to)
}

// prune removes sets that are not in keep, and versions and manifests that are
// neither used by a kept set nor in busy, the manifests being transferred.
func (c cache) prune(keep []string, busy map[release.Digest]bool) error {
	used := map[string]bool{}
	for d := range busy {
		used[d.Hex()] = true
	}
	kept := map[string]bool{}
	for _, id := range keep {
		kept[id] = true
		if set, ok := c.readIndex(id); ok {
			for _, d := range setManifests(set) {
				used[d.Hex()] = true
			}
		}
	}
	return errors.Join(
		removeEntries(filepath.Join(c.root, "sets"), func(name string) bool { return kept[name] }),
		removeEntries(filepath.Join(c.root, "index"), func(name string) bool { return kept[strings.TrimSuffix(name, ".json")] }),
		removeEntries(filepath.Join(c.root, "versions"), func(name string) bool {
			return used[strings.TrimSuffix(strings.TrimSuffix(name, partialSuffix), oldSuffix)]
		}),
		removeEntries(filepath.Join(c.root, "manifests"), func(name string) bool { return used[name] }),
	)
}

func removeEntries(dir string, keep func(name string) bool) error {
	entries, err := os.ReadDir(dir)
	for _, e := range entries {
		if !keep(e.Name()) {
			err = errors.Join(err, os.RemoveAll(filepath.Join(dir, e.Name())))
		}
	}
	return err
}

// setManifests returns the distinct manifest digests of a set, the model's first.
func setManifests(set release.WeightsSet) []release.Digest {
	list := []release.Digest{set.Model.Manifest}
	seen := map[release.Digest]bool{set.Model.Manifest: true}
	for _, a := range set.Adapters {
		if !seen[a.Manifest] {
			seen[a.Manifest] = true
			list = append(list, a.Manifest)
		}
	}
	return list
}

// sectionReader reads a section of a file. Close closes the file.
type sectionReader struct {
	io.Reader
	file *os.File
}

func (r sectionReader) Close() error { return r.file.Close() }

func openSection(path string, offset, size int64) (io.ReadCloser, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	return sectionReader{io.NewSectionReader(file, offset, size), file}, nil
}
