package configstore

import (
	"encoding/json"
	"errors"

	"go.etcd.io/raft/v3"

	"ringtrack.example/ringtrack/internal/sharedconfig"
	"ringtrack.example/ringtrack/internal/sharedconfig/history"
)

// maxProposals bounds the number of publishers' ids with proposed commands that have not been applied yet.
const maxProposals = 1024

var errTooManyProposals = errors.New("too many publishes wait")

// proposalResult is the outcome of a Publish or Cordon command. If err is set and applied is not, the command
// may still be applied.
type proposalResult struct {
	version *sharedconfig.Version
	err     error
	applied bool
}

// epochProposal is the last proposal to advance from an epoch to the next one.
type epochProposal struct {
	epoch uint64
	at    float64 // ms of the monotonic clock
}

// propose proposes a command. The result is sent to answer when the command is applied, which may never
// happen.
func (r *Replica) propose(id string, command *history.Command, answer chan proposalResult) {
	if r.softState.RaftState != raft.StateLeader {
		answer <- proposalResult{err: errNotLeading}
		return
	}
	if len(r.proposals) >= maxProposals {
		answer <- proposalResult{err: errTooManyProposals}
		return
	}
	data, err := json.Marshal(command)
	if err == nil {
		err = r.node.Propose(data)
	}
	if err != nil {
		answer <- proposalResult{err: err}
		return
	}
	r.proposals[id] = append(r.proposals[id], answer)
}

// answerProposals sends the result to all callers that wait for the command with this id.
func (r *Replica) answerProposals(id string, result proposalResult) {
	for _, answer := range r.proposals[id] {
		answer <- result
	}
	delete(r.proposals, id)
}

func (r *Replica) failProposals(err error) {
	for id := range r.proposals {
		r.answerProposals(id, proposalResult{err: err})
	}
}

// advance proposes the next epoch once no holder uses an epoch before the current one.
func (r *Replica) advance(now float64) {
	versions := &r.state.History
	if r.lessor == nil || !versions.CanAdvance() {
		return
	}
	if versions.Epoch == r.advancing.epoch && now-r.advancing.at < r.electionTimeoutMs() {
		return // already proposed
	}
	if !r.lessor.MayAdvance(now, versions.Epoch, versions.ServerRulesDiffer) {
		return
	}
	epoch := versions.Epoch
	data, err := json.Marshal(&history.Command{Advance: &epoch})
	if err == nil && r.node.Propose(data) == nil {
		r.advancing = epochProposal{epoch: epoch, at: now}
	}
}
