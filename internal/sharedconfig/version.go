package sharedconfig

// Version is a published configuration.
type Version struct {
	Number       uint64  `json:"number"`  // from 1 on, without gaps
	Parent       uint64  `json:"parent"`  // the number before
	From         uint64  `json:"from"`    // the version in force before it, once Transitioned; versions between were skipped
	Transitioned bool    `json:"stepped"` // the transition to it has begun
	Digest       string  `json:"digest"`
	ID           string  `json:"id"` // drawn by the publisher; a retry with the same id is the same version
	Author       string  `json:"author"`
	Reason       string  `json:"reason"`
	AtMs         int64   `json:"at_ms"` // Unix time at the replica that accepted it, for display only
	Config       *Config `json:"book,omitempty"`
}

// Transition is what may be acted on in one epoch. Epoch 2n is version n itself; epoch 2n-1 is what n and the version in
// force before it both permit. Epochs only grow; of the versions that are pending while another comes in force only
// the last follows. At any time at most two neighbouring epochs are acted on. Epoch 0 is before the first version: each
// agent uses its own file alone.
type Transition struct {
	Epoch  uint64  `json:"stage"`
	Config *Config `json:"book"`
}

// EpochOf is the epoch in which a version alone is in force.
func EpochOf(number uint64) uint64 { return 2 * number }
