package main

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
)

// output is a destination of results: none, a stream, or a file that appears under its final name only when it is complete.
type output struct {
	w         io.Writer // nil for no output
	file      *os.File  // nil for a stream
	finalPath string    // path that commit renames the file to
}

// createFile opens a temporary file, whose name ends in suffix, beside path. An existing file at path stays until commit.
func createFile(path, suffix string) (*output, error) {
	finalPath, mode := path, fs.FileMode(0o666)
	switch info, err := os.Stat(path); {
	case err == nil && info.IsDir():
		return nil, errors.New("is a directory")
	case err == nil && !info.Mode().IsRegular():
		return nil, errors.New("is not a regular file; standard output is -")
	case err == nil:
		existing, err := os.OpenFile(path, os.O_WRONLY, 0) // a file without write permission must not be replaced
		if err != nil {
			return nil, withoutPath(err)
		}
		existing.Close()
		mode = info.Mode().Perm()
		if finalPath, err = filepath.EvalSymlinks(path); err != nil {
			return nil, withoutPath(err)
		}
	default:
		if _, err := os.Lstat(path); err == nil {
			return nil, errors.New("is a link to nothing")
		}
	}
	finalPath, err := filepath.Abs(finalPath)
	if err != nil {
		return nil, err
	}
	dir, base := filepath.Split(finalPath)
	temp := filepath.Join(dir, fmt.Sprintf(".%s.%d.%s", base, os.Getpid(), suffix))
	f, err := os.OpenFile(temp, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return nil, withoutPath(err)
	}
	return &output{w: f, file: f, finalPath: finalPath}, nil
}

// withoutPath returns err without the path that it contains.
func withoutPath(err error) error {
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

// sync flushes the file to disk.
func (o *output) sync() error {
	if o.file == nil {
		return nil
	}
	if err := o.file.Sync(); err != nil {
		return fmt.Errorf("results: %w", err)
	}
	return nil
}

// commit closes the file and renames it to its final path.
func (o *output) commit() error {
	if o.file == nil {
		return nil
	}
	temp := o.file.Name()
	err := o.file.Close()
	if err == nil {
		err = os.Rename(temp, o.finalPath)
	}
	if err != nil {
		return errors.Join(fmt.Errorf("results: %w", err), os.Remove(temp))
	}
	o.file = nil
	return nil
}

// discard removes a file that was not committed.
func (o *output) discard() {
	if o.file != nil {
		o.file.Close()
		os.Remove(o.file.Name())
		o.file = nil
	}
}
