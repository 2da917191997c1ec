package faults

import (
	"fmt"

	"scaleroute/internal/journal"
)

// Disk is a folder whose operations fail as a plan says.
type Disk struct {
	journal.FS
	plan *Plan
}

// NewDisk makes the operations of a folder fail as a plan says.
func NewDisk(folder journal.FS, plan *Plan) *Disk { return &Disk{FS: folder, plan: plan} }

// check is the error that an operation on a name meets.
func (d *Disk) check(operation, name string) error {
	if err := d.plan.Fails("disk " + operation); err != nil {
		return fmt.Errorf("%s %s (injected): %w", operation, name, err)
	}
	return nil
}

// Open opens a file, or creates it.
func (d *Disk) Open(name string, create bool) (journal.File, error) {
	if create {
		if err := d.check("open", name); err != nil {
			return nil, err
		}
	}
	f, err := d.FS.Open(name, create)
	if err != nil {
		return nil, err
	}
	return &file{File: f, disk: d, name: name}, nil
}

// Rename renames a file.
func (d *Disk) Rename(from, to string) error {
	if err := d.check("rename", from); err != nil {
		return err
	}
	return d.FS.Rename(from, to)
}

// Remove removes a file.
func (d *Disk) Remove(name string) error {
	if err := d.check("remove", name); err != nil {
		return err
	}
	return d.FS.Remove(name)
}

// Sync syncs the folder.
func (d *Disk) Sync() error {
	if err := d.check("sync", "the folder"); err != nil {
		return err
	}
	return d.FS.Sync()
}

type file struct {
	journal.File
	disk *Disk
	name string
}

// WriteAt writes nothing, or half where the write is to be short, and fails.
func (f *file) WriteAt(b []byte, at int64) (int, error) {
	failed, fails := f.disk.plan.draw("disk write")
	if !fails {
		return f.File.WriteAt(b, at)
	}
	written := 0
	if failed.isShort {
		written, _ = f.File.WriteAt(b[:len(b)/2], at)
	}
	return written, fmt.Errorf("write %s (injected): %w", f.name, failed.errno)
}

// Allocate sets no room aside and fails.
func (f *file) Allocate(size int64) error {
	if err := f.disk.check("allocate", f.name); err != nil {
		return err
	}
	return f.File.Allocate(size)
}

// Sync syncs nothing and fails.
func (f *file) Sync() error {
	if err := f.disk.check("sync", f.name); err != nil {
		return err
	}
	return f.File.Sync()
}
