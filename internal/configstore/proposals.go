package configstore

import (
	"encoding/json"
	"errors"

	"go.etcd.io/raft/v3"

	"ringtrack.example/ringtrack/internal/sharedconfig"
	"ringtrack.example/ringtrack/internal/sharedconfig/history"
)

// maxProposals bounds the publisher's ids whose commands are proposed and not applied yet.
const maxProposals = 1024

var errTooManyProposals = errors.New("too many publishes wait")

// proposalResult is the outcome of a Publish or Cordon. An error without applied leaves open whether it will be applied.
type proposalResult struct {
	version *sharedconfig.Version
	err     error
	applied bool
}

// epochProposal is the last proposal to end an epoch.
type epochProposal struct {
	epoch uint64
	at    float64 // ms of the monotonic clock
}

// propose proposes a command; the result comes when it is applied, if ever.
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

// answerProposals answers those who wait for the command with this id.
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

// advance proposes the next epoch once nobody acts on an epoch before this one.
func (r *Replica) advance(now float64) {
	versions := &r.state.History
	if r.lessor == nil || !versions.CanAdvance() {
		return
	}
	if versions.Epoch == r.advancing.epoch && now-r.advancing.at < r.electionTimeoutMs() {
		return // the proposal is under way
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
