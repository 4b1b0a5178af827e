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
	"ringtrack.example/ringtrack/internal/sharedconfig"
)

// confirmedRead has the loop call fill, which sets out, once a majority has confirmed that this replica leads. If it does
// not lead it forwards the call.
func (k *Replica) confirmedRead(req *http.Request, out any, fill func() error) (any, error) {
	ctx, cancel := context.WithTimeout(req.Context(), forwardTimeout)
	defer cancel()
	result := k.wait(ctx, &request{read: true})
	if errors.Is(result.err, errNotLeading) {
		return out, k.forward(req, nil, out, forwardTimeout)
	}
	if result.err != nil {
		return nil, result.err
	}
	done := make(chan error, 1)
	if !k.post(ctx, func() { done <- fill() }) {
		return nil, errNotLeading
	}
	select {
	case err := <-done:
		return out, err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// history lists the versions without their configurations.
func (k *Replica) history(req *http.Request, _ []byte) (any, error) {
	out := &client.HistoryResponse{}
	return k.confirmedRead(req, out, func() error {
		log := &k.state.History
		out.Epoch = log.Epoch
		out.Dropped = log.Dropped
		out.Versions = slices.Clone(log.Versions)
		for i := range out.Versions {
			out.Versions[i].Config = nil
		}
		return nil
	})
}

// version returns the version with the number n, 0: the last.
func (k *Replica) version(req *http.Request, _ []byte) (any, error) {
	number, err := strconv.ParseUint(req.URL.Query().Get("n"), 10, 64)
	if err != nil {
		return nil, invalidCallError{errors.New("version: n: a number is needed; 0 is the last")}
	}
	out := &sharedconfig.Version{}
	return k.confirmedRead(req, out, func() error {
		log := &k.state.History
		last := log.Last()
		wanted := number
		if wanted == 0 {
			wanted = last
		}
		if wanted == 0 {
			return nil // before the first
		}
		v := log.Version(wanted)
		if v == nil {
			return invalidCallError{fmt.Errorf("version %d is not kept; there are %d to %d", number, log.Dropped+1, last)}
		}
		*out = *v
		return nil
	})
}

// status is what this replica knows, without asking another.
func (k *Replica) status(req *http.Request, _ []byte) (any, error) {
	out := &client.Status{}
	done := make(chan struct{})
	ctx, cancel := context.WithTimeout(req.Context(), forwardTimeout)
	defer cancel()
	fill := func() {
		k.fillStatus(out)
		close(done)
	}
	if !k.post(ctx, fill) {
		return nil, errNotLeading
	}
	select {
	case <-done:
		return out, nil
	case <-ctx.Done():
		return nil, errNotReady
	}
}

func (k *Replica) fillStatus(s *client.Status) {
	*s = client.Status{
		Name:        k.cfg.Name,
		ID:          k.identity.ID,
		Leader:      k.state.Members[k.softState.Lead].Name,
		Term:        k.node.BasicStatus().GetTerm(),
		Applied:     k.applied,
		Epoch:       k.state.History.Epoch,
		Last:        k.state.History.Last(),
		Members:     k.describeMembers(),
		Unreachable: k.unreachable(),
		Loop:        k.delays.status(),
	}
	if k.lessor != nil {
		now := k.now()
		s.Holders = maps.Clone(k.lessor.Holders(now))
		s.BlockedBy = k.lessor.Adopted(now, k.state.History.Epoch, k.state.History.EndpointsChanged).Holders
	}
}

func (k *Replica) describeMembers() []string {
	var members []string
	for id, m := range k.state.Members {
		text := m.Name + " " + m.Addr
		if slices.Contains(k.confState.GetLearners(), id) {
			text += " learner"
		}
		members = append(members, text)
	}
	slices.Sort(members)
	return members
}

// unreachable is why replicas reject each other's messages, by name.
func (k *Replica) unreachable() map[string]string {
	reasons := map[string]string{}
	for id, reason := range k.watermarks.Rejected {
		if m, isMember := k.state.Members[id]; isMember {
			reasons[m.Name] = reason
		}
	}
	for _, p := range k.peers {
		if p.rejection != "" {
			reasons[k.cfg.Name+" by "+k.state.Members[p.id].Name] = p.rejection
		}
	}
	return reasons
}
