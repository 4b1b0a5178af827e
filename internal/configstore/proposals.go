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
func (k *Replica) propose(id string, command *history.Command, answer chan proposalResult) {
	if k.softState.RaftState != raft.StateLeader {
		answer <- proposalResult{err: errNotLeading}
		return
	}
	if len(k.proposals) >= maxProposals {
		answer <- proposalResult{err: errTooManyProposals}
		return
	}
	data, err := json.Marshal(command)
	if err == nil {
		err = k.node.Propose(data)
	}
	if err != nil {
		answer <- proposalResult{err: err}
		return
	}
	k.proposals[id] = append(k.proposals[id], answer)
}

// answerProposals answers those who wait for the command with this id.
func (k *Replica) answerProposals(id string, result proposalResult) {
	for _, answer := range k.proposals[id] {
		answer <- result
	}
	delete(k.proposals, id)
}

func (k *Replica) failProposals(err error) {
	for id := range k.proposals {
		k.answerProposals(id, proposalResult{err: err})
	}
}

// advance proposes the next epoch once nobody acts on an epoch before this one.
func (k *Replica) advance(now float64) {
	log := &k.state.History
	if k.lessor == nil || !log.CanAdvance() {
		return
	}
	if log.Epoch == k.advancing.epoch && now-k.advancing.at < k.electionTimeoutMs() {
		return // the proposal is under way
	}
	if !k.lessor.MayAdvance(now, log.Epoch, log.EndpointsChanged) {
		return
	}
	epoch := log.Epoch
	data, err := json.Marshal(&history.Command{Advance: &epoch})
	if err == nil && k.node.Propose(data) == nil {
		k.advancing = epochProposal{epoch: epoch, at: now}
	}
}
