package membership

// MergeConfig holds the parameters of a Merge. All times are in ms.
type MergeConfig struct {
	// AllRegistered says that every server registers a node, so that one without a node is down. If false, a
	// missing node matters only for servers that once had one.
	AllRegistered bool
	// StaleAfterMs is how long a source may be silent before its status says that it is stale.
	StaleAfterMs float64
	// LostAfterMs is how long the registry may be unreachable before a missing node no longer makes a server
	// count as down, if discovery has responded since and lists the server as up.
	LostAfterMs float64

	// MassExpiryFraction, MassExpiryMin and MassExpiryWindowMs define a mass expiry: more than this fraction
	// of all registered servers, and more than this number, lost their last node within the window. A server
	// that expires then keeps its state for MassExpiryHoldMs, or until discovery reports a more restrictive
	// one.
	MassExpiryFraction float64
	MassExpiryMin      int
	MassExpiryWindowMs float64
	MassExpiryHoldMs   float64

	// FlapHoldMs is the hold after a node expired and returned repeatedly: the server is up only once its
	// node has existed for so long. It doubles with each return up to MaxFlapHoldMs. The first return within
	// FlapWindowMs is not delayed.
	FlapHoldMs    float64
	MaxFlapHoldMs float64
	FlapWindowMs  float64

	// MemoryMs is how long a server that no source lists is remembered, to preserve its start time.
	MemoryMs float64
}

// DefaultMergeConfig returns the defaults, which are those of the registry's configuration file.
func DefaultMergeConfig() MergeConfig {
	return MergeConfig{
		StaleAfterMs:       15_000,
		LostAfterMs:        60_000,
		MassExpiryFraction: 0.5,
		MassExpiryMin:      4,
		MassExpiryWindowMs: 2000,
		MassExpiryHoldMs:   10_000,
		FlapHoldMs:         250,
		MaxFlapHoldMs:      5000,
		FlapWindowMs:       30_000,
		MemoryMs:           900_000,
	}
}
