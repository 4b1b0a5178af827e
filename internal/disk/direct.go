//go:build !lab

package disk

import "os"

func write(f *os.File, p []byte) (int, error) { return f.Write(p) }

func sync(f *os.File) error { return f.Sync() }

// fileRenamed is called after a file has been renamed; only lab builds act on it.
func fileRenamed(_, _ string) {}
