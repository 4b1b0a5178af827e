package sharedconfig

// Version is a published configuration. Publishing an ID again yields the same version.
type Version struct {
	Number uint64 `json:"number"` // from 1 on, without gaps
	Parent uint64 `json:"parent"` // number of the previous version
	// From is the version in force before it, if Transitioned; versions in between were skipped.
	From         uint64  `json:"from"`
	Transitioned bool    `json:"stepped"` // the transition to it has started
	Digest       string  `json:"digest"`
	ID           string  `json:"id"` // chosen by the publisher; the same in a retry
	Author       string  `json:"author"`
	Reason       string  `json:"reason"`
	AtMs         int64   `json:"at_ms"` // Unix time at the replica that accepted it, for display only
	Config       *Config `json:"book,omitempty"`
}

// Transition is the configuration in force in one epoch. In epoch 2n it is version n itself; in epoch 2n-1
// it is what n and the version in force before it both permit. Epochs only increase. If several versions
// are pending, only the last of them comes into force. At any time at most two neighbouring epochs are
// acted on. Epoch 0 is the one before the first version: each agent uses only its own file.
type Transition struct {
	Epoch  uint64  `json:"stage"`
	Config *Config `json:"book"`
}

// EpochOf returns the epoch in which only the given version is in force.
func EpochOf(number uint64) uint64 { return 2 * number }
