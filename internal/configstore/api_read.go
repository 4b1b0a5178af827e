package configstore

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"

	"ringtrack.example/ringtrack/internal/configstore/client"
	"ringtrack.example/ringtrack/internal/lease"
	"ringtrack.example/ringtrack/internal/panics"
	"ringtrack.example/ringtrack/internal/sharedconfig"
)

// confirmedRead makes a linearizable read: after a majority has confirmed that this replica leads, the event
// loop calls fill, which sets out. If this replica does not lead, the call is forwarded to the leader.
func (r *Replica) confirmedRead(req *http.Request, out any, fill func() error) (any, error) {
	ctx, cancel := context.WithTimeout(req.Context(), forwardTimeout)
	defer cancel()
	result := r.wait(ctx, &request{read: true})
	if errors.Is(result.err, errNotLeading) {
		return out, r.forward(req, nil, out, forwardTimeout)
	}
	if result.err != nil {
		return nil, result.err
	}
	done := make(chan error, 1)
	if !r.post(ctx, func() { done <- fill() }) {
		return nil, errNotLeading
	}
	select {
	case err := <-done:
		return out, err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// history handles a call for the versions, without their configurations.
func (r *Replica) history(req *http.Request, _ []byte) (any, error) {
	out := &client.HistoryResponse{}
	return r.confirmedRead(req, out, func() error {
		versions := &r.state.History
		out.Epoch = versions.Epoch
		out.Dropped = versions.Dropped
		out.Versions = slices.Clone(versions.Versions)
		for i := range out.Versions {
			out.Versions[i].Config = nil
		}
		return nil
	})
}

// version handles a call for the version with the number n; 0 is the last version.
func (r *Replica) version(req *http.Request, _ []byte) (any, error) {
	number, err := strconv.ParseUint(req.URL.Query().Get("n"), 10, 64)
	if err != nil {
		return nil, invalidCallError{errors.New("version: n: a number is needed; 0 is the last")}
	}
	out := &sharedconfig.Version{}
	return r.confirmedRead(req, out, func() error {
		versions := &r.state.History
		last := versions.Last()
		wanted := number
		if wanted == 0 {
			wanted = last
		}
		if wanted == 0 {
			return nil // no version has been published
		}
		v := versions.Version(wanted)
		if v == nil {
			return invalidCallError{fmt.Errorf("version %d is not retained; there are %d to %d", number, versions.Dropped+1, last)}
		}
		*out = *v
		return nil
	})
}

// status handles a call for the state of this replica, which involves no other replica.
func (r *Replica) status(req *http.Request, _ []byte) (any, error) {
	out := &client.Status{}
	done := make(chan struct{})
	ctx, cancel := context.WithTimeout(req.Context(), forwardTimeout)
	defer cancel()
	fill := func() {
		r.fillStatus(out)
		close(done)
	}
	if !r.post(ctx, fill) {
		return nil, errNotLeading
	}
	select {
	case <-done:
		return out, nil
	case <-ctx.Done():
		return nil, errNotReady
	}
}

func (r *Replica) fillStatus(s *client.Status) {
	*s = client.Status{
		Name:        r.cfg.Name,
		ID:          r.identity.ID,
		Leader:      r.state.Members[r.softState.Lead].Name,
		Term:        r.node.BasicStatus().GetTerm(),
		Applied:     r.applied,
		Epoch:       r.state.History.Epoch,
		Last:        r.state.History.Last(),
		Members:     r.describeMembers(),
		Unreachable: r.unreachable(),
		Loop:        r.delays.status(),
		Panics:      panics.Recovered(),
	}
	if r.lessor != nil {
		now := r.now()
		s.Holders = maps.Clone(r.lessor.Holders(now))
		s.BlockedBy = r.blockers(now).Holders
	}
}

// blockers returns what blocks the next epoch. If no further epoch is due, it returns the holders that have
// not adopted the current one.
func (r *Replica) blockers(now float64) lease.Blockers {
	versions := &r.state.History
	if versions.CanAdvance() {
		return r.lessor.AdvanceBlockers(now, versions.Epoch, versions.ServerRulesDiffer)
	}
	return r.lessor.AdoptionBlockers(now, versions.Epoch, versions.ServerRulesDiffer)
}

func (r *Replica) describeMembers() []string {
	var members []string
	for id, m := range r.state.Members {
		text := m.Name + " " + m.Addr
		if slices.Contains(r.confState.GetLearners(), id) {
			text += " learner"
		}
		members = append(members, text)
	}
	slices.Sort(members)
	return members
}

// unreachable returns the reasons for which replicas reject each other's messages: "NAME" for a replica whose
// messages this one rejects, "THIS by NAME" for a replica that rejects the messages of this one.
func (r *Replica) unreachable() map[string]string {
	reasons := map[string]string{}
	for id, reason := range r.watermarks.Rejected {
		if m, isMember := r.state.Members[id]; isMember {
			reasons[m.Name] = reason
		}
	}
	for _, p := range r.peers {
		if p.rejection != "" {
			reasons[r.cfg.Name+" by "+r.state.Members[p.id].Name] = p.rejection
		}
	}
	return reasons
}
