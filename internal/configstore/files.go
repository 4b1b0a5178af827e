package configstore

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"

	"ringtrack.example/ringtrack/internal/disk"
	"ringtrack.example/ringtrack/internal/sharedconfig"
	"ringtrack.example/ringtrack/internal/sharedconfig/history"
)

// The files of a data directory. Each record of the log has its own checksum; each other file has one
// checksum for all of its content.
const (
	logFile        = "log"
	snapshotFile   = "snapshot"
	identityFile   = "identity"
	watermarksFile = "seen"
)

// Bounds of the files that are read. What is written stays under them: snapshotIfDue keeps the log short, and the history
// bounds what it retains.
const (
	maxLogBytes = 256 << 20
	// maxSnapshotBytes is what the history retains, the versions that it retains beyond that because they are pending or
	// in use, and the rest of the state.
	maxSnapshotBytes = history.MaxRetainedBytes + maxExtraVersions*maxVersionBytes + maxOtherStateBytes
	// maxExtraVersions are those that are pending, and those that two transitions may have skipped.
	maxExtraVersions = 3*history.MaxPendingVersions + 2
	// maxVersionBytes is a configuration as it is published, and the servers that are cordoned afterwards.
	maxVersionBytes    = sharedconfig.MaxBytes + sharedconfig.MaxCordoned*sharedconfig.MaxNameBytes
	maxOtherStateBytes = 4 << 20
)

// ErrCorrupt is returned for a file that does not have the content that was written. A replica with such a
// file must not run; it has to be replaced.
var ErrCorrupt = errors.New("configstore: corrupt data")

var crcTable = crc32.MakeTable(crc32.Castagnoli)

const checksumBytes = 4

// addChecksum prepends a checksum to a text.
func addChecksum(text []byte) []byte {
	content := binary.BigEndian.AppendUint32(nil, crc32.Checksum(text, crcTable))
	return append(content, text...)
}

// removeChecksum checks the checksum of a file's content and returns the text after it.
func removeChecksum(name string, content []byte) ([]byte, error) {
	if len(content) < checksumBytes {
		return nil, fmt.Errorf("%w: %s: the checksum does not fit", ErrCorrupt, name)
	}
	text := content[checksumBytes:]
	if crc32.Checksum(text, crcTable) != binary.BigEndian.Uint32(content) {
		return nil, fmt.Errorf("%w: %s: the checksum does not fit", ErrCorrupt, name)
	}
	return text, nil
}

// readChecksummed reads a file and checks its checksum. If it does not exist the error is fs.ErrNotExist.
func readChecksummed(d *disk.Dir, name string) ([]byte, error) {
	content, err := d.Read(name, maxSnapshotBytes)
	if err != nil {
		return nil, err
	}
	return removeChecksum(name, content)
}

// readJSON reads a JSON file with a checksum; found is false if it does not exist.
func readJSON(d *disk.Dir, name string, into any) (found bool, err error) {
	text, err := readChecksummed(d, name)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if err := json.Unmarshal(text, into); err != nil {
		return false, fmt.Errorf("%w: %s: %w", ErrCorrupt, name, err)
	}
	return true, nil
}

// writeJSON replaces a JSON file and adds a checksum.
func writeJSON(d *disk.Dir, name string, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return d.Replace(name, addChecksum(text))
}
