package disk

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	"github.com/dunlinquay/dunlinquay/result"
)

const (
	fileMode   = 0o600
	folderMode = 0o700
)

// Folder is a data folder; its methods name files relative to Path.
type Folder struct {
	// Path is the absolute or relative path of the folder.
	Path string
	// Sync flushes one open file, WriteAt writes to one; tests replace them to provoke faults.
	Sync    func(f *os.File) error
	WriteAt func(f *os.File, b []byte, offset int64) (int, error)
}

// NewFolder creates the folder at path when it is missing and returns it.
func NewFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, result.Wrap(err, result.StartFailed, "data folder %s cannot be made", path)
	}
	parent := &Folder{Path: filepath.Dir(path), Sync: (*os.File).Sync}
	if err := parent.syncFolder(); err != nil {
		return nil, err
	}
	return &Folder{Path: path, Sync: (*os.File).Sync, WriteAt: (*os.File).WriteAt}, nil
}

// ReadFile returns the content of name, or nil when the file does not exist.
func (d *Folder) ReadFile(name string) ([]byte, error) {
	b, err := os.ReadFile(filepath.Join(d.Path, name))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	return b, err
}

// WriteFile replaces name by content so that a crash leaves either the old or the new content.
func (d *Folder) WriteFile(name string, content []byte) error {
	tmp := name + ".tmp"
	f, err := os.OpenFile(filepath.Join(d.Path, tmp), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return classify(err)
	}
	if _, err = d.WriteAt(f, content, 0); err != nil {
		f.Close()
		return classify(err)
	}
	if err = d.Sync(f); err != nil {
		f.Close()
		return syncFailed(err)
	}
	if err = f.Close(); err != nil {
		return classify(err)
	}
	return d.rename(tmp, name)
}

// rename moves a synced file into place and syncs the folder, without which the new name could be lost.
func (d *Folder) rename(from, to string) error {
	if err := os.Rename(filepath.Join(d.Path, from), filepath.Join(d.Path, to)); err != nil {
		return classify(err)
	}
	return d.syncFolder()
}

func (d *Folder) syncFolder() error {
	dir, err := os.Open(d.Path)
	if err != nil {
		return classify(err)
	}
	defer dir.Close()
	if err := d.Sync(dir); err != nil {
		return syncFailed(err)
	}
	return nil
}

const lockName = "lock"

// lock keeps every other process out of the folder for as long as the returned file is open.
func (d *Folder) lock() (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(d.Path, lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, classify(err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, result.Wrap(err, result.StartFailed, "data folder %s is in use by another process", d.Path)
	}
	return f, nil
}

// classify gives a full disk its own code, because it is the one write failure that a member survives.
func classify(err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return result.Wrap(err, result.StorageFull, "the disk of the data folder is full")
	}
	return result.Wrap(err, result.SyncFailed, "the data folder cannot be written")
}

func syncFailed(err error) error {
	return result.Wrap(err, result.SyncFailed, "sync failed")
}
