package configstore

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"net/http"
	"slices"
	"time"

	"ringtrack.example/ringtrack/internal/configstore/client"
	"ringtrack.example/ringtrack/internal/disk"
)

// Identity is what makes a folder a certain keeper's. ID is drawn with the folder: a keeper whose folder was wiped has
// another, which no member list has, and so neither votes nor counts, whatever its name.
type Identity struct {
	Name string `json:"name"`
	ID   uint64 `json:"id"`
	// Formed are the ids of the first members by name, once all of them were heard; nil: not yet. Cluster is drawn from
	// them and the same at all members, also those that join.
	Formed  map[string]uint64 `json:"formed,omitempty"`
	Cluster uint64            `json:"cluster,omitempty"`
}

const pathIdentity = "/v1/identity"

// loadIdentity reads the folder's identity, or draws one for a folder that has none.
func loadIdentity(d *disk.Dir, name string) (*Identity, error) {
	id := &Identity{}
	found, err := readJSON(d, identityFile, id)
	if err != nil {
		return nil, err
	}
	if found && id.Name != name {
		return nil, fmt.Errorf("keeper: data: the folder is that of keeper %q, not of %q", id.Name, name)
	}
	if found {
		return id, nil
	}
	for _, f := range []string{logFile, snapshotFile} {
		if old, _ := d.Names(f); len(old) > 0 {
			return nil, fmt.Errorf("%w: there is a %s and no %s", ErrCorrupt, f, identityFile)
		}
	}
	*id = Identity{Name: name, ID: newReplicaID(name)}
	return id, writeJSON(d, identityFile, id)
}

// newReplicaID draws an id for a new folder.
var newReplicaID = func(name string) uint64 {
	var b [8]byte
	rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])>>1 | 1
}

// clusterID is drawn from the first members' ids.
func clusterID(formed map[string]uint64) uint64 {
	h := fnv.New64a()
	for _, name := range slices.Sorted(maps.Keys(formed)) {
		fmt.Fprintf(h, "%s=%d;", name, formed[name])
	}
	return h.Sum64()>>1 | 1
}

// ErrReplaced says that the others know another folder under this keeper's name.
var ErrReplaced = errors.New("keeper: the others have formed with another folder of this name; add this one as a new member (join = true)")

// form asks the other first members for their identities until all are known, or one that has formed already tells:
// only then, and so only with all folders as they are at the very first, is there anything to vote on.
func (id *Identity) form(ctx context.Context, members map[string]string, ask *client.Caller) error {
	for formed := map[string]uint64{id.Name: id.ID}; ; {
		for name, addr := range members {
			if name == id.Name {
				continue
			}
			var other Identity
			try, cancel := context.WithTimeout(ctx, time.Second)
			err := ask.Call(try, addr, pathIdentity, http.Header{}, nil, &other)
			cancel()
			switch {
			case err != nil || other.Name != name:
			case other.Formed != nil && other.Formed[id.Name] != id.ID:
				return ErrReplaced
			case other.Formed != nil:
				id.Formed, id.Cluster = other.Formed, other.Cluster
				return nil
			default:
				formed[name] = other.ID
			}
		}
		if len(formed) == len(members) {
			id.Formed, id.Cluster = formed, clusterID(formed)
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
}
