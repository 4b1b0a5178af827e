package cluster

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"ringtrack.example/ringtrack/internal/configstore"
	"ringtrack.example/ringtrack/internal/configstore/client"
)

const (
	replaceTimeout        = 8 * time.Second // of each step
	membersTimeout        = 2 * time.Second // of one call
	lyingDiskTime         = 500 * time.Millisecond
	bareMajorityWriteTime = 500 * time.Millisecond
	electionTime          = 1500 * time.Millisecond // within which a majority would elect a leader

	// unknownReplicaText is part of the response to a request to remove a replica that is not a member.
	unknownReplicaText = "there is no replica"
)

// memberState is the state of a replica's membership as the leader reports it.
type memberState string

const (
	notMember memberState = "out"
	learner   memberState = "learning"
	member    memberState = "in"
)

// loseData damages a replica's data directory as the fault says, and restarts the replica on the damaged
// data. Then it follows the documented procedure: remove the replica and add it again with an empty
// directory.
func (r *runner) loseData(ctx context.Context, f Fault, p *Process, duration time.Duration) {
	r.cluster.replacing.Lock()
	defer r.cluster.replacing.Unlock()
	if err := r.damage(ctx, f, p); err != nil {
		r.fail("%s: %s: %v", p.Name, f.Kind, err)
		return
	}
	p.Start()
	select {
	case <-time.After(duration):
	case <-ctx.Done():
		return
	}
	if err := r.cluster.Replace(ctx, p); err != nil {
		r.fail("%s: replacing the replica after %s: %v", p.Name, f.Kind, err)
		r.abort()
		return
	}
	r.mu.Lock()
	r.outcome.Replaced++
	r.mu.Unlock()
}

// damage stops a replica and damages its data directory.
func (r *runner) damage(ctx context.Context, f Fault, p *Process) error {
	switch f.Kind {
	case FaultWipe:
		return r.wipe(ctx, p)
	case FaultStaleData:
		p.Kill()
		return p.Restore(r.backupDir(p))
	case FaultLyingDisk:
		p.SetDiskFault(diskLies)
		time.Sleep(lyingDiskTime)
		err := p.PowerCut(nil)
		p.SetDiskFault("")
		return err
	case FaultBitFlip:
		p.Kill()
		if err := p.FlipBit(f.Detail, r.rng); !errors.Is(err, os.ErrNotExist) {
			return err
		}
	}
	return nil
}

// wipe isolates some replicas, so that only a bare majority, which includes p, has the versions acknowledged
// meanwhile. Then it wipes p and connects it to the isolated replicas while the rest of that majority is
// down: these must not elect a leader. If p is the leader or none is known, it only wipes p.
func (r *runner) wipe(ctx context.Context, p *Process) error {
	leader, _ := r.cluster.Leader(ctx)
	if leader == nil || leader == p {
		p.Kill()
		return p.Wipe()
	}
	upToDate, isolated := r.splitReplicas(leader, p)
	for _, replica := range isolated {
		r.cluster.SetLinks(replica.Name, r.cluster.Replicas, Stall, Stall)
	}
	time.Sleep(bareMajorityWriteTime)
	for _, replica := range upToDate {
		replica.Kill()
	}
	p.Kill()
	err := p.Wipe()
	for _, replica := range isolated {
		r.cluster.SetLinks(replica.Name, r.cluster.Replicas, Pass, Pass)
	}
	p.Start()
	time.Sleep(electionTime)
	for _, replica := range upToDate {
		err = errors.Join(err, replica.Start())
	}
	return err
}

// splitReplicas splits the replicas other than p into those that form a bare majority with it and the rest.
func (r *runner) splitReplicas(leader, p *Process) (upToDate, isolated []*Process) {
	majority := len(r.cluster.Replicas)/2 + 1
	upToDate = []*Process{leader}
	for _, replica := range r.cluster.Replicas {
		switch {
		case replica == p || replica == leader:
		case len(upToDate)+1 < majority:
			upToDate = append(upToDate, replica)
		default:
			isolated = append(isolated, replica)
		}
	}
	return upToDate, isolated
}

// Replace removes a replica from the cluster's members and adds it again with an empty data directory.
func (c *Cluster) Replace(ctx context.Context, p *Process) error {
	remove := &configstore.MembersRequest{Remove: p.Name}
	err := errors.Join(c.changeMembers(ctx, p, "the replica is removed", remove), c.awaitMember(ctx, p, notMember))
	if err != nil {
		return err
	}
	p.Kill()
	if err := p.Wipe(); err != nil {
		return err
	}
	if err := setJoin(p); err != nil {
		return err
	}
	if err := p.Start(); err != nil {
		return err
	}
	add := &configstore.MembersRequest{Add: p.Name, Addr: p.Addr}
	return errors.Join(c.changeMembers(ctx, p, "the replica is added", add), c.awaitMember(ctx, p, member))
}

// changeMembers sends a request to the replicas other than p until it succeeds at one, or one responds that p
// is not a member.
func (c *Cluster) changeMembers(ctx context.Context, p *Process, what string, request *configstore.MembersRequest) error {
	var lastErr error
	err := Until(ctx, what, replaceTimeout, func() bool {
		for _, replica := range c.Replicas {
			if replica == p {
				continue
			}
			call, cancel := context.WithTimeout(ctx, membersTimeout)
			lastErr = c.Call(call, replica, client.PathMembers, request, nil)
			cancel()
			if lastErr == nil || strings.Contains(lastErr.Error(), unknownReplicaText) {
				return true
			}
		}
		return false
	})
	if err != nil {
		return fmt.Errorf("%w: %w", err, lastErr)
	}
	return nil
}

// awaitMember waits until the leader reports a replica in the wanted state.
func (c *Cluster) awaitMember(ctx context.Context, p *Process, want memberState) error {
	return Until(ctx, fmt.Sprintf("%s is %s", p.Name, want), replaceTimeout, func() bool {
		_, status := c.Leader(ctx)
		return status != nil && memberStateOf(p.Name, status.Members) == want
	})
}

// memberStateOf returns the state of a replica from the members of a status, each a name followed by details.
func memberStateOf(name string, members []string) memberState {
	state := notMember
	for _, m := range members {
		memberName, rest, _ := strings.Cut(m, " ")
		if memberName != name {
			continue
		}
		state = member
		if strings.HasSuffix(rest, "learner") {
			state = learner
		}
	}
	return state
}

// setJoin changes a replica's configuration file so that the replica waits until it is added as a member.
func setJoin(p *Process) error {
	file := filepath.Join(p.Dir, replicaConfigFile)
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	joining := strings.Replace(string(text), "join = false", "join = true", 1)
	return os.WriteFile(file, []byte(joining), 0o600)
}
