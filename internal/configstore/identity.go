package configstore

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"ringtrack.example/ringtrack/internal/configstore/client"
	"ringtrack.example/ringtrack/internal/disk"
)

const (
	pathIdentity = "/v1/identity"
	// identityCallTimeout bounds a call for another replica's identity; formInterval is the pause between two
	// rounds of these calls.
	identityCallTimeout = time.Second
	formInterval        = 50 * time.Millisecond
)

// ErrReplaced is returned if the cluster was formed with another data directory under this replica's name.
var ErrReplaced = errors.New("configstore: the cluster was formed with another data directory of this name; add this one as a new member (join = true)")

// Identity ties a data directory to one replica. ID is chosen at random when the directory is created. A
// replica whose directory was wiped gets a new ID, which is not a member's: it can't vote and counts for no
// majority, whatever its name.
type Identity struct {
	Name string `json:"name"`
	ID   uint64 `json:"id"`
	// InitialMembers has the ids of the initial members by name; nil until the cluster is formed. Cluster is
	// derived from them and is the same for all members, including those that join later.
	InitialMembers map[string]uint64 `json:"formed,omitempty"`
	Cluster        uint64            `json:"cluster,omitempty"`
}

// sharedIdentity is a copy of the identity for the handlers of calls, which run in other goroutines than the
// loop.
type sharedIdentity struct {
	mu sync.Mutex
	id Identity
}

func (s *sharedIdentity) set(id *Identity) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.id = *id
}

func (s *sharedIdentity) get() Identity {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id
}

// loadIdentity reads the identity of a data directory, or creates one for an empty directory.
func loadIdentity(d *disk.Dir, name string) (*Identity, error) {
	id := &Identity{}
	found, err := readJSON(d, identityFile, id)
	if err != nil {
		return nil, err
	}
	if found && id.Name != name {
		return nil, fmt.Errorf("configstore: data: the directory belongs to replica %q, not to %q", id.Name, name)
	}
	if found {
		return id, nil
	}
	for _, file := range []string{logFile, snapshotFile} {
		if existing, _ := d.Names(file); len(existing) > 0 {
			return nil, fmt.Errorf("%w: there is a %s and no %s", ErrCorrupt, file, identityFile)
		}
	}
	*id = Identity{Name: name, ID: newReplicaID(name)}
	return id, writeJSON(d, identityFile, id)
}

// newReplicaID returns a random id for a new data directory. Lab builds can replace it.
var newReplicaID = func(name string) uint64 {
	var random [8]byte
	rand.Read(random[:])
	return nonZeroID(binary.BigEndian.Uint64(random[:]))
}

// nonZeroID derives a positive id of 63 bits from a number.
func nonZeroID(n uint64) uint64 { return n>>1 | 1 }

// clusterID derives the id of the cluster from the ids of the initial members.
func clusterID(formed map[string]uint64) uint64 {
	hash := fnv.New64a()
	for _, name := range slices.Sorted(maps.Keys(formed)) {
		fmt.Fprintf(hash, "%s=%d;", name, formed[name])
	}
	return nonZeroID(hash.Sum64())
}

// saveFormed makes durable that this replica is a member of the formed cluster.
func (r *Replica) saveFormed(formed *Identity) error {
	if err := writeJSON(r.dir, identityFile, formed); err != nil {
		return err
	}
	*r.identity = *formed
	slog.Info("cluster formed", "name", formed.Name, "id", formed.ID, "members", len(formed.InitialMembers))
	return nil
}

// formCluster calls the other initial members for their identities until all are known, or until one of them
// has already formed the cluster. So no vote takes place before the data directories of all initial members
// exist and their ids are known.
func (id *Identity) formCluster(ctx context.Context, members map[string]string, caller *client.Caller) error {
	known := map[string]uint64{id.Name: id.ID}
	for {
		for name, addr := range members {
			if name == id.Name {
				continue
			}
			other, err := callIdentity(ctx, addr, caller)
			if err != nil || other.Name != name {
				continue
			}
			if other.InitialMembers == nil {
				known[name] = other.ID
				continue
			}
			if other.InitialMembers[id.Name] != id.ID {
				return ErrReplaced
			}
			id.InitialMembers = other.InitialMembers
			id.Cluster = other.Cluster
			return nil
		}
		if len(known) == len(members) {
			id.InitialMembers = known
			id.Cluster = clusterID(known)
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(formInterval):
		}
	}
}

func callIdentity(ctx context.Context, addr string, caller *client.Caller) (*Identity, error) {
	ctx, cancel := context.WithTimeout(ctx, identityCallTimeout)
	defer cancel()
	other := &Identity{}
	err := caller.Call(ctx, addr, pathIdentity, http.Header{}, nil, other)
	return other, err
}
