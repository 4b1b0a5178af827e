package upgrade

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"

	"ringtrack.example/ringtrack/internal/membership"
)

const (
	endpointsFile      = "list.json"
	discoveryStaleFile = "stale.json"
	cordonedFile       = "bans.json"

	// maxFileBytes limits how much of a file is read.
	maxFileBytes = 16 << 20
)

// SavedEndpoints is the last endpoint list of a process.
type SavedEndpoints struct {
	List membership.List `json:"list"`
	Seen []string        `json:"seen"` // ids that were listed before but no longer are
}

// SaveEndpoints saves the endpoint list for a later process.
func (d *Dir) SaveEndpoints(s *SavedEndpoints) error { return d.write(endpointsFile, s) }

// SavedEndpoints returns the endpoint list that was saved last; nil if none was.
func (d *Dir) SavedEndpoints() (*SavedEndpoints, error) {
	s := &SavedEndpoints{}
	found, err := d.read(endpointsFile, s)
	if !found {
		return nil, err
	}
	return s, err
}

// SetDiscoveryStale saves for a later process whether the last call to discovery had no answer. If two
// processes write, the last write wins.
func (d *Dir) SetDiscoveryStale(stale bool) error { return d.write(discoveryStaleFile, stale) }

// DiscoveryStale returns the value that SetDiscoveryStale saved last; found is false if there is none.
func (d *Dir) DiscoveryStale() (stale, found bool, err error) {
	found, err = d.read(discoveryStaleFile, &stale)
	return stale, found, err
}

// read decodes a JSON file of the folder; found is false if it does not exist or cannot be read.
func (d *Dir) read(name string, into any) (found bool, err error) {
	f, err := os.Open(filepath.Join(d.path, name))
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxFileBytes))
	if err == nil {
		err = json.Unmarshal(text, into)
	}
	if err != nil {
		return false, fmt.Errorf("upgrade: %s: %w", name, err)
	}
	return true, nil
}

// write replaces a JSON file of the folder atomically: a reader finds either the old or the new content.
func (d *Dir) write(name string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	tmp := filepath.Join(d.path, name+"."+strconv.Itoa(d.seq))
	if err := os.WriteFile(tmp, text, 0o600); err != nil {
		_ = os.Remove(tmp)
		return fmt.Errorf("upgrade: %w", err)
	}
	return os.Rename(tmp, filepath.Join(d.path, name))
}
