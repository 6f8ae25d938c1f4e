package journaler_test

import (
	"errors"
	"maps"
	"os"
	"slices"

	"lycheelift.example/lib/journaler"
)

var errDisk = errors.New("no space left on device")

// content holds the data of a file. The first synced bytes survive a crash.
type content struct {
	data   []byte
	synced int
}

// disk is a fake folder that loses unsynced data and names at a crash and fails on demand.
type disk struct {
	names   map[string]*content // files that the process sees
	durable map[string]*content // files at the folder's last sync
	// budget is the number of operations that still succeed; all later ones fail. Negative means no limit.
	budget int
}

func newDisk() *disk {
	return &disk{names: map[string]*content{}, durable: map[string]*content{}, budget: -1}
}

func (d *disk) useBudget() error {
	if d.budget == 0 {
		return errDisk
	}
	d.budget--
	return nil
}

// crash discards unsynced data; torn returns how many unsynced bytes of a file survive.
func (d *disk) crash(torn func(unsynced int) int, keepNames bool) {
	if !keepNames {
		d.names = maps.Clone(d.durable)
	}
	for _, c := range d.names {
		c.data = c.data[:c.synced+torn(len(c.data)-c.synced)]
		c.synced = len(c.data)
	}
	d.durable = maps.Clone(d.names)
	d.budget = -1
}

func (d *disk) List() ([]string, error) { return slices.Collect(maps.Keys(d.names)), nil }

func (d *disk) Read(name string) ([]byte, error) {
	c, ok := d.names[name]
	if !ok {
		return nil, os.ErrNotExist
	}
	return slices.Clone(c.data), nil
}

func (d *disk) Create(name string) (journaler.File, error) {
	if err := d.useBudget(); err != nil {
		return nil, err
	}
	c := &content{}
	d.names[name] = c
	return &file{disk: d, content: c}, nil
}

func (d *disk) Persist(name string) error {
	if err := d.useBudget(); err != nil {
		return err
	}
	d.names[name].synced = len(d.names[name].data)
	return nil
}

func (d *disk) Truncate(name string, size int64) error {
	c := d.names[name]
	c.data = c.data[:size]
	c.synced = len(c.data)
	return d.useBudget()
}

func (d *disk) Rename(from, to string) error {
	if err := d.useBudget(); err != nil {
		return err
	}
	d.names[to] = d.names[from]
	delete(d.names, from)
	return nil
}

func (d *disk) Remove(name string) error {
	if err := d.useBudget(); err != nil {
		return err
	}
	delete(d.names, name)
	return nil
}

func (d *disk) Sync() error {
	if err := d.useBudget(); err != nil {
		return err
	}
	d.durable = maps.Clone(d.names)
	return nil
}

type file struct {
	disk    *disk
	content *content
}

func (f *file) Write(p []byte) (int, error) {
	n := len(p)
	err := f.disk.useBudget()
	if err != nil {
		n /= 2 // A full disk stores a part of the data.
	}
	f.content.data = append(f.content.data, p[:n]...)
	return n, err
}

func (f *file) Sync() error {
	if err := f.disk.useBudget(); err != nil {
		return err
	}
	f.content.synced = len(f.content.data)
	return nil
}

func (f *file) Close() error { return nil }
