package upgrade

// Peer is another process of the agent.
type Peer struct {
	Seq     int // the order in which processes joined
	Alive   bool
	Serving bool
}

// HasPredecessor reports whether an older process is alive, serving or not.
func HasPredecessor(seq int, peers []Peer) bool {
	for _, p := range peers {
		if p.Alive && p.Seq < seq {
			return true
		}
	}
	return false
}

// CountProcesses returns how many processes share the agent's limits: the caller and at most one other.
func CountProcesses(peers []Peer) int {
	for _, p := range peers {
		if p.Alive {
			return 2
		}
	}
	return 1
}

// HasSuccessor reports whether a newer process takes over the requests: one that is alive and serves. A
// process that has only started may never serve.
func HasSuccessor(seq int, peers []Peer) bool {
	for _, p := range peers {
		if p.Alive && p.Serving && p.Seq > seq {
			return true
		}
	}
	return false
}

// Age tells whether another process of the agent joined before or after the caller.
type Age int

// The ages. None means that there is no other process.
const (
	None Age = iota
	Older
	Newer
)

// Remaining returns which process remains after the caller has ended. If both an older and a newer one are
// alive, it is the newer one.
func Remaining(seq int, peers []Peer) Age {
	age := None
	for _, p := range peers {
		switch {
		case !p.Alive:
		case p.Seq > seq:
			return Newer
		default:
			age = Older
		}
	}
	return age
}
