package experiment

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"ringtrack.example/ringtrack/internal/emulator"
)

const (
	// resultsFile is the name of the results file in the results directory.
	resultsFile = "results.jsonl"
	// resultsVersion is the version of the format of the results file.
	resultsVersion = 1
)

// Errors for an existing results file that the experiment can't continue.
var (
	ErrNoResults       = errors.New("holds no results")
	ErrResultsVersion  = errors.New("holds results of another version")
	ErrOtherExperiment = errors.New("holds the results of another experiment or of an earlier version of this file")
)

// header is the first line of the results file.
type header struct {
	Version    int    `json:"version"`
	Experiment uint32 `json:"experiment"` // checksum of the experiment file
}

// check returns an error if the results are of another format or another experiment.
func (h *header) check(checksum uint32) error {
	if h.Version != resultsVersion {
		return fmt.Errorf("%w: version %d, expected %d", ErrResultsVersion, h.Version, resultsVersion)
	}
	if h.Experiment != checksum {
		return ErrOtherExperiment
	}
	return nil
}

// appendLine writes v as a line of JSON in a single write. A line that a crash cuts off is dropped when the
// file is opened again.
func appendLine(w io.Writer, v any) error {
	line, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = w.Write(append(line, '\n'))
	return err
}

// openResults opens or creates the results file, drops an incomplete last line, and returns the file,
// positioned for appending, and its results. A file that the experiment can't continue is not changed.
func (e *Experiment) openResults(name string) (*os.File, []*emulator.Result, error) {
	file, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, nil, fmt.Errorf("experiment: %w", err)
	}
	results, size, err := e.readResults(file)
	if err == nil {
		err = e.prepareAppend(file, size)
	}
	if err != nil {
		file.Close()
		return nil, nil, fmt.Errorf("experiment: %s: %w", name, err)
	}
	return file, results, nil
}

// readResults returns the results and the length in bytes of all complete lines.
func (e *Experiment) readResults(r io.Reader) ([]*emulator.Result, int64, error) {
	var results []*emulator.Result
	size := int64(0)
	reader := bufio.NewReader(r)
	for n := 1; ; n++ {
		line, err := reader.ReadBytes('\n')
		if err == io.EOF {
			return results, size, nil // the rest is an incomplete line
		}
		if err != nil {
			return nil, 0, err
		}
		if n == 1 {
			if err := e.checkHeader(line); err != nil {
				return nil, 0, err
			}
		} else {
			result := &emulator.Result{}
			if err := json.Unmarshal(line, result); err != nil {
				return nil, 0, fmt.Errorf("line %d: %w", n, err)
			}
			results = append(results, result)
		}
		size += int64(len(line))
	}
}

func (e *Experiment) checkHeader(line []byte) error {
	var h header
	if err := json.Unmarshal(line, &h); err != nil {
		return fmt.Errorf("%w: %w", ErrNoResults, err)
	}
	return h.check(e.checksum)
}

// prepareAppend truncates the file to a size, and writes the header if that is 0.
func (e *Experiment) prepareAppend(file *os.File, size int64) error {
	if err := file.Truncate(size); err != nil {
		return err
	}
	if _, err := file.Seek(size, io.SeekStart); err != nil {
		return err
	}
	if size > 0 {
		return nil
	}
	return appendLine(file, header{resultsVersion, e.checksum})
}
