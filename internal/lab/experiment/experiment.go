// Package experiment runs scenarios of the emulator under several policies and seeds, in parallel on all
// cores, and compares the policies. The result of each run is appended to a file, so that a stopped
// experiment can be resumed.
package experiment

import (
	"bytes"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"ringtrack.example/ringtrack/internal/emulator"
	"ringtrack.example/ringtrack/internal/emulator/peers"
)

const (
	// maxRuns is the maximum number of runs of an experiment.
	maxRuns = 100_000
	// maxFileBytes is the maximum size of an experiment file.
	maxFileBytes = 1 << 20
	maxSeeds     = 1000
	defaultSeeds = 5
)

// Values of Experiment.By.
const (
	byGoodput         = "goodput"
	byWeightedGoodput = "worth"
)

// Experiment is the contents of an experiment file. Each scenario is run under each policy with each seed.
type Experiment struct {
	Policies  []string `toml:"policies"` // empty: all
	Seeds     int      `toml:"seeds"`
	FirstSeed uint64   `toml:"first_seed"`
	// By is the result by which policies are compared: "goodput" (the default) or "worth", the weighted
	// goodput.
	By        string              `toml:"by"`
	Scenarios []emulator.Scenario `toml:"scenario"`

	checksum uint32 // CRC-32 of the file
}

// Policies returns all policies, the product first.
func Policies() []emulator.Policy {
	return append([]emulator.Policy{emulator.Product}, peers.All...)
}

// policyByName returns a policy, or nil if there is none of this name.
func policyByName(name string) *emulator.Policy {
	for _, p := range Policies() {
		if p.Name == name {
			return &p
		}
	}
	return nil
}

// Load reads and checks an experiment file. The error of an invalid file names the key.
func Load(file string) (*Experiment, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	if len(text) > maxFileBytes {
		return nil, fmt.Errorf("experiment: %s: %d bytes, at most %d", file, len(text), maxFileBytes)
	}
	e := &Experiment{Seeds: defaultSeeds, FirstSeed: 1, checksum: crc32.ChecksumIEEE(text)}
	if err := e.decode(text); err != nil {
		return nil, fmt.Errorf("experiment: %s: %w", file, err)
	}
	if err := e.check(); err != nil {
		return nil, fmt.Errorf("experiment: %s: %w", file, err)
	}
	return e, nil
}

func (e *Experiment) decode(text []byte) error {
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(e)
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		return fmt.Errorf("%s: unknown key", strings.Join(unknown.Errors[0].Key(), "."))
	}
	return err
}

// check sets defaults and returns an error that names the first invalid key.
func (e *Experiment) check() error {
	if err := e.checkPolicies(); err != nil {
		return err
	}
	if e.Seeds < 1 || e.Seeds > maxSeeds {
		return fmt.Errorf("seeds: must be from 1 to %d, is %d", maxSeeds, e.Seeds)
	}
	if e.By != "" && e.By != byGoodput && e.By != byWeightedGoodput {
		return fmt.Errorf("by: %q is neither %s nor %s", e.By, byGoodput, byWeightedGoodput)
	}
	if err := e.checkScenarios(); err != nil {
		return err
	}
	if n := len(e.runKeys()); n > maxRuns {
		return fmt.Errorf("%d runs, at most %d are supported", n, maxRuns)
	}
	return nil
}

func (e *Experiment) checkPolicies() error {
	if len(e.Policies) == 0 {
		for _, p := range Policies() {
			e.Policies = append(e.Policies, p.Name)
		}
	}
	for i, name := range e.Policies {
		if policyByName(name) == nil {
			return fmt.Errorf("policies[%d]: %q is unknown", i, name)
		}
		if slices.Index(e.Policies, name) < i {
			return fmt.Errorf("policies[%d]: %q is listed twice", i, name)
		}
	}
	return nil
}

func (e *Experiment) checkScenarios() error {
	if len(e.Scenarios) == 0 {
		return errors.New("scenario: none")
	}
	names := map[string]bool{}
	for i := range e.Scenarios {
		s := &e.Scenarios[i]
		if s.Name == "" || names[s.Name] {
			return fmt.Errorf("scenario[%d].name: %q is empty or already used", i, s.Name)
		}
		names[s.Name] = true
		if err := s.Check(); err != nil {
			return fmt.Errorf("scenario[%d] (%s).%w", i, s.Name, err)
		}
	}
	return nil
}
