// Package disk provides the file operations for durable state. They are an interface,
// so that recovery can be tested with a fake disk that loses or tears unsynced writes
// and returns errors.
package disk

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("disk")

// FS is the set of file operations for durable state. Bytes are durable after
// File.Sync, names after SyncDir. Errors for missing files wrap fs.ErrNotExist.
type FS interface {
	MkdirAll(dir string) error
	// Create creates a file, or truncates an existing one, for writing.
	Create(name string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(name string) (File, error)
	// Open opens an existing file for reading from its start.
	Open(name string) (io.ReadCloser, error)
	Rename(from, to string) error
	Remove(name string) error
	// List returns the sorted names of the files in dir.
	List(dir string) ([]string, error)
	SyncDir(dir string) error
}

// File is a file open for writing at its end.
type File interface {
	io.Writer
	Sync() error
	Truncate(size int64) error
	Close() error
}

// IsNotExist reports whether err means that a file or directory is missing.
func IsNotExist(err error) bool { return errors.Is(err, fs.ErrNotExist) }

// Read returns the whole content of a file.
func Read(f FS, name string) ([]byte, error) {
	r, err := f.Open(name)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	b, err := io.ReadAll(r)
	return b, Error.Wrap(err)
}

// Replace atomically replaces a file: after a crash it has either its old or its new
// content. The new content is durable when Replace returns.
func Replace(f FS, name string, content []byte) error {
	tmp := name + TempSuffix
	w, err := f.Create(tmp)
	if err != nil {
		return err
	}
	_, err = w.Write(content)
	if err == nil {
		err = w.Sync()
	}
	if err = errors.Join(err, w.Close()); err != nil {
		return Error.Wrap(err)
	}
	if err := f.Rename(tmp, name); err != nil {
		return err
	}
	return f.SyncDir(filepath.Dir(name))
}

// TempSuffix is the suffix of the temporary files of Replace. Code that reads a
// directory must ignore them, because a crash may leave them.
const TempSuffix = ".tmp"

// Real implements FS with the operating system's file system.
type Real struct{}

// MkdirAll creates dir and its parents and makes their names durable.
func (Real) MkdirAll(dir string) error {
	if _, err := os.Stat(dir); err == nil {
		return nil
	}
	parent := filepath.Dir(dir)
	if parent != dir {
		if err := (Real{}).MkdirAll(parent); err != nil {
			return err
		}
	}
	if err := os.Mkdir(dir, 0o700); err != nil && !errors.Is(err, fs.ErrExist) {
		return Error.Wrap(err)
	}
	return (Real{}).SyncDir(parent)
}

// Create implements FS.
func (Real) Create(name string) (File, error) {
	return openFile(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC|os.O_APPEND)
}

// Append implements FS.
func (Real) Append(name string) (File, error) { return openFile(name, os.O_WRONLY|os.O_APPEND) }

// Open implements FS.
func (Real) Open(name string) (io.ReadCloser, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return f, nil
}

func openFile(name string, flag int) (File, error) {
	f, err := os.OpenFile(name, flag, 0o600)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return f, nil
}

// Rename implements FS.
func (Real) Rename(from, to string) error { return Error.Wrap(os.Rename(from, to)) }

// Remove implements FS.
func (Real) Remove(name string) error { return Error.Wrap(os.Remove(name)) }

// List implements FS.
func (Real) List(dir string) ([]string, error) {
	all, err := os.ReadDir(dir)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var out []string
	for _, e := range all {
		if !e.IsDir() {
			out = append(out, e.Name())
		}
	}
	slices.Sort(out)
	return out, nil
}

// SyncDir implements FS.
func (Real) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(errors.Join(d.Sync(), d.Close()))
}
