package upgrade

// Peer is another process of the agent, as its file tells.
type Peer struct {
	Seq     int // the order in which processes joined
	Alive   bool
	Serving bool // it has told that it takes requests
}

// HasPredecessor tells whether a process joins beside one that lives, whether or not that one serves yet.
func HasPredecessor(seq int, peers []Peer) bool {
	for _, p := range peers {
		if p.Alive && p.Seq < seq {
			return true
		}
	}
	return false
}

// CountProcesses is how many processes share what the agent may use: this one, and a second at the most.
func CountProcesses(peers []Peer) int {
	for _, p := range peers {
		if p.Alive {
			return 2
		}
	}
	return 1
}

// HasSuccessor tells whether a newer process takes the requests from now on: one that lives and has told that it
// serves. One that has only started may never come up.
func HasSuccessor(seq int, peers []Peer) bool {
	for _, p := range peers {
		if p.Alive && p.Serving && p.Seq > seq {
			return true
		}
	}
	return false
}

// Age tells a process of the same agent by when it joined.
type Age int

// Ages of another process; None: there is no other.
const (
	None Age = iota
	Older
	Newer
)

// Remaining tells which process stays once this one has left: the newer one of two that live.
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
