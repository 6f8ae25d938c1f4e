package replica_test

import (
	"errors"
	"strings"
	"sync"
	"syscall"
	"time"

	"lycheelift.example/lib/journaler"
)

// operation is a step of writing a file that a full disk may refuse.
type operation int

const (
	create operation = iota + 1
	write
	rename
	anyWrite
)

// fault makes an operation fail on files whose names begin with a prefix, but for the first ones.
type fault struct {
	operation operation
	prefix    string
	first     int
}

// disk is a data folder whose disk is full for some operations. It may be used from several goroutines.
type disk struct {
	journaler.FileSystem

	mu sync.Mutex
	// full is the fault; nil while there is room.
	full *fault
	// refused counts the operations that were refused since the disk was filled.
	refused int
	// syncTime is how long each sync takes. It does not change.
	syncTime time.Duration
}

func (d *disk) wrap(fs journaler.FileSystem) journaler.FileSystem {
	d.FileSystem = fs
	return d
}

func (d *disk) fill(f fault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full, d.refused = &f, 0
}

func (d *disk) free() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = nil
}

func (d *disk) refusals() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.refused
}

func (d *disk) check(o operation, name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.full == nil || d.full.operation != o && d.full.operation != anyWrite || !strings.HasPrefix(name, d.full.prefix) {
		return nil
	}
	if d.full.first > 0 {
		d.full.first--
		return nil
	}
	d.refused++
	return syscall.ENOSPC
}

// Create opens a file whose writes may be refused.
func (d *disk) Create(name string) (journaler.File, error) {
	if err := d.check(create, name); err != nil {
		return nil, err
	}
	f, err := d.FileSystem.Create(name)
	return &fileOnDisk{File: f, disk: d, name: name}, err
}

// Sync syncs the folder.
func (d *disk) Sync() error {
	time.Sleep(d.syncTime)
	return d.FileSystem.Sync()
}

// Rename renames a file.
func (d *disk) Rename(from, to string) error {
	if err := d.check(rename, to); err != nil {
		return err
	}
	return d.FileSystem.Rename(from, to)
}

type fileOnDisk struct {
	journaler.File

	disk *disk
	name string
}

// Write writes half of the data to a full disk.
func (f *fileOnDisk) Write(data []byte) (int, error) {
	if err := f.disk.check(write, f.name); err != nil {
		n, writeErr := f.File.Write(data[:len(data)/2])
		return n, errors.Join(err, writeErr)
	}
	return f.File.Write(data)
}

// Sync syncs the file.
func (f *fileOnDisk) Sync() error {
	time.Sleep(f.disk.syncTime)
	return f.File.Sync()
}
