package journaler

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/samber/oops"
)

// FileSystem provides access to the folder that holds a journal. Names are relative to it and contain no separators.
type FileSystem interface {
	// List returns the names of all files.
	List() ([]string, error)
	// Read returns the content of a file; the error is os.ErrNotExist when there is none.
	Read(name string) ([]byte, error)
	// Create creates a file for writing and truncates an existing one.
	Create(name string) (File, error)
	// Persist makes the content of an existing file durable, whichever process wrote it.
	Persist(name string) error
	// Truncate truncates a file to a size and syncs it.
	Truncate(name string, size int64) error
	// Rename renames a file atomically and replaces an existing one.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(name string) error
	// Sync makes file creations, renames and deletions durable.
	Sync() error
}

// File is a file open for appending.
type File interface {
	io.WriteCloser
	// Sync makes the written data durable.
	Sync() error
}

// Folder is a folder of the operating system.
type Folder struct {
	path string
	lock *os.File
}

const (
	lockName   = "lock"
	folderMode = 0o750
	fileMode   = 0o600
)

// ErrLocked is returned when another process uses the folder.
var ErrLocked = errors.New("the data folder is in use by another process")

// OpenFolder creates the folder if it is missing and locks it against other processes until Close.
func OpenFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, oops.In("journaler").Wrapf(err, "create %s", path)
	}
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, oops.In("journaler").Wrapf(err, "open the lock")
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, oops.In("journaler").Wrapf(ErrLocked, "%s", path)
	}
	// The folder's own directory entry must be durable too, or a synced log could be lost with its folder.
	parent := &Folder{path: filepath.Dir(path)}
	if err := parent.Sync(); err != nil {
		_ = lock.Close()
		return nil, err
	}
	return &Folder{path: path, lock: lock}, nil
}

// Close releases the lock.
func (f *Folder) Close() error {
	return f.lock.Close()
}

// List returns the names of all files except the lock file.
func (f *Folder) List() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, oops.In("journaler").Wrap(err)
	}
	out := make([]string, 0, len(entries))
	for _, e := range entries {
		if e.Type().IsRegular() && e.Name() != lockName {
			out = append(out, e.Name())
		}
	}
	return out, nil
}

// Read returns the content of a file.
func (f *Folder) Read(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(f.path, name))
}

// Create creates an empty file.
func (f *Folder) Create(name string) (File, error) {
	return os.OpenFile(filepath.Join(f.path, name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
}

// Persist syncs the content of a file.
func (f *Folder) Persist(name string) error {
	file, err := os.OpenFile(filepath.Join(f.path, name), os.O_WRONLY, fileMode)
	if err != nil {
		return oops.In("journaler").Wrap(err)
	}
	return errors.Join(file.Sync(), file.Close())
}

// ReadDurable returns the content of a file and makes it durable first. A process that was killed between a write and its sync
// leaves content that a loss of power takes back. The error is os.ErrNotExist when there is no file.
func ReadDurable(fs FileSystem, name string) ([]byte, error) {
	data, err := fs.Read(name)
	if err != nil {
		return nil, err
	}
	return data, fs.Persist(name)
}

// Truncate truncates a file and syncs it.
func (f *Folder) Truncate(name string, size int64) error {
	file, err := os.OpenFile(filepath.Join(f.path, name), os.O_WRONLY, fileMode)
	if err != nil {
		return oops.In("journaler").Wrap(err)
	}
	return errors.Join(file.Truncate(size), file.Sync(), file.Close())
}

// Rename renames a file and replaces an existing one.
func (f *Folder) Rename(from, to string) error {
	return os.Rename(filepath.Join(f.path, from), filepath.Join(f.path, to))
}

// Remove deletes a file.
func (f *Folder) Remove(name string) error {
	return os.Remove(filepath.Join(f.path, name))
}

// Sync syncs the folder itself.
func (f *Folder) Sync() error {
	d, err := os.Open(f.path)
	if err != nil {
		return oops.In("journaler").Wrap(err)
	}
	return errors.Join(d.Sync(), d.Close())
}
