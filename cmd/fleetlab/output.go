package main

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
)

// output is where results go: nowhere, to a stream, or to a file that has its name only once it is whole.
type output struct {
	w     io.Writer // nil = nowhere
	file  *os.File  // nil = a stream
	final string    // the name that it gets
}

// createFile opens a file of another name, which ends in kind, beside path. An older file at path stays until keep.
func createFile(path, kind string) (*output, error) {
	final, mode := path, fs.FileMode(0o666)
	switch info, err := os.Stat(path); {
	case err == nil && info.IsDir():
		return nil, errors.New("is a directory")
	case err == nil && !info.Mode().IsRegular():
		return nil, errors.New("is not a regular file; standard output is -")
	case err == nil:
		old, err := os.OpenFile(path, os.O_WRONLY, 0) // a file that may not be written is not replaced either
		if err != nil {
			return nil, pathless(err)
		}
		old.Close()
		mode = info.Mode().Perm()
		if final, err = filepath.EvalSymlinks(path); err != nil {
			return nil, pathless(err)
		}
	default:
		if _, err := os.Lstat(path); err == nil {
			return nil, errors.New("is a link to nothing")
		}
	}
	final, err := filepath.Abs(final)
	if err != nil {
		return nil, err
	}
	dir, base := filepath.Split(final)
	temp := filepath.Join(dir, fmt.Sprintf(".%s.%d.%s", base, os.Getpid(), kind))
	f, err := os.OpenFile(temp, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return nil, pathless(err)
	}
	return &output{w: f, file: f, final: final}, nil
}

// pathless is an error without the path that it names.
func pathless(err error) error {
	if inner := (*fs.PathError)(nil); errors.As(err, &inner) {
		return inner.Err
	}
	return err
}

func (o *output) write(p []byte) error {
	if o.w == nil {
		return nil
	}
	if _, err := o.w.Write(p); err != nil {
		return fmt.Errorf("results: %w", err)
	}
	return nil
}

// sync has all that was written on the disk.
func (o *output) sync() error {
	if o.file == nil {
		return nil
	}
	if err := o.file.Sync(); err != nil {
		return fmt.Errorf("results: %w", err)
	}
	return nil
}

// keep gives the file its name.
func (o *output) keep() error {
	if o.file == nil {
		return nil
	}
	temp := o.file.Name()
	err := o.file.Close()
	if err == nil {
		err = os.Rename(temp, o.final)
	}
	if err != nil {
		return errors.Join(fmt.Errorf("results: %w", err), os.Remove(temp))
	}
	o.file = nil
	return nil
}

// discard removes a file that was not kept.
func (o *output) discard() {
	if o.file != nil {
		o.file.Close()
		os.Remove(o.file.Name())
		o.file = nil
	}
}
