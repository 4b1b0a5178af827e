// Package resource renders what package assign decides as xDS resources, marshalled once for all
// proxies of a group and ready for the wire. It does no I/O and reads no clock; the same input gives
// the same bytes and the same versions in every process.
//
// A resource's version is a hash of its bytes. Versions are compared for equality only: of two
// replicas neither is ahead, and a proxy that moves between them is sent nothing it has.
package resource

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// The types of resources that are served, by their URLs.
const (
	Listener   = "type.googleapis.com/envoy.config.listener.v3.Listener"
	Route      = "type.googleapis.com/envoy.config.route.v3.RouteConfiguration"
	Cluster    = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
	Endpoints  = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
	LbEndpoint = "type.googleapis.com/envoy.config.endpoint.v3.LbEndpoint" // of LEDS, incremental only
)

// Types are all of them in the order in which what changed is sent: servers first, as a drain is
// among them and nothing else is in a hurry; then what refers to what (make before break).
var Types = []string{LbEndpoint, Endpoints, Cluster, Listener, Route}

// Resource is one resource, marshalled. It is never changed once made.
type Resource struct {
	Name    string
	Version string
	any     []byte // google.protobuf.Any
}

// New marshals a message as a resource. The error is one of the message, a defect of the caller.
func New(typeURL, name string, m proto.Message) (*Resource, error) {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, err
	}
	return fromValue(typeURL, name, value, version(value)), nil
}

func fromValue(typeURL, name string, value []byte, version string) *Resource {
	b := make([]byte, 0, len(value)+len(typeURL)+16)
	b = protowire.AppendTag(b, 1, protowire.BytesType)
	b = protowire.AppendString(b, typeURL)
	b = protowire.AppendTag(b, 2, protowire.BytesType)
	b = protowire.AppendBytes(b, value)
	return &Resource{Name: name, Version: version, any: b}
}

// version hashes parts, each with its length before it.
func version(parts ...[]byte) string {
	h := sha256.New()
	for _, p := range parts {
		h.Write(protowire.AppendVarint(nil, uint64(len(p))))
		h.Write(p)
	}
	return hex.EncodeToString(h.Sum(nil)[:8])
}

// Set is resources of one type, or of one collection, that are handed out together. It is never
// changed once made.
type Set struct {
	Version string
	byName  map[string]*Resource
	names   []string // sorted
}

// NewSet makes a set; of two resources of one name the later counts.
func NewSet(resources ...*Resource) *Set {
	s := &Set{byName: make(map[string]*Resource, len(resources))}
	for _, r := range resources {
		if s.byName[r.Name] == nil {
			s.names = append(s.names, r.Name)
		}
		s.byName[r.Name] = r
	}
	slices.Sort(s.names)
	h := sha256.New()
	for _, n := range s.names {
		h.Write([]byte(n))
		h.Write([]byte{0})
		h.Write([]byte(s.byName[n].Version))
	}
	s.Version = hex.EncodeToString(h.Sum(nil)[:8])
	return s
}

// Get returns a resource, or nil. A nil set holds none.
func (s *Set) Get(name string) *Resource {
	if s == nil {
		return nil
	}
	return s.byName[name]
}

// Names returns the names in order; not to be changed.
func (s *Set) Names() []string {
	if s == nil {
		return nil
	}
	return s.names
}

// Diff returns what of s is new or other than in old, and which names of old are not in s.
func (s *Set) Diff(old *Set) (changed []*Resource, removed []string) {
	for _, n := range s.Names() {
		if r := s.byName[n]; old.Get(n) == nil || old.Get(n).Version != r.Version {
			changed = append(changed, r)
		}
	}
	for _, n := range old.Names() {
		if s.Get(n) == nil {
			removed = append(removed, n)
		}
	}
	return changed, removed
}

// MarshalResponse encodes a DiscoveryResponse of the state-of-the-world protocol.
func MarshalResponse(typeURL, version, nonce string, resources []*Resource) []byte {
	n := len(typeURL) + len(version) + len(nonce) + 32
	for _, r := range resources {
		n += len(r.any) + 8
	}
	b := make([]byte, 0, n)
	b = protowire.AppendTag(b, 1, protowire.BytesType)
	b = protowire.AppendString(b, version)
	for _, r := range resources {
		b = protowire.AppendTag(b, 2, protowire.BytesType)
		b = protowire.AppendBytes(b, r.any)
	}
	b = protowire.AppendTag(b, 4, protowire.BytesType)
	b = protowire.AppendString(b, typeURL)
	b = protowire.AppendTag(b, 5, protowire.BytesType)
	return protowire.AppendString(b, nonce)
}

// MarshalDeltaResponse encodes a DeltaDiscoveryResponse of the incremental protocol. With a ttl above 0 s each
// resource carries it; bare leaves out the resources' bodies, which makes it a heartbeat.
func MarshalDeltaResponse(typeURL, version, nonce string, changed []*Resource, removed []string, ttlSeconds int, bare bool) []byte {
	n := len(typeURL) + len(version) + len(nonce) + 32
	for _, r := range changed {
		n += len(r.any) + len(r.Name) + len(r.Version) + 24
	}
	b := make([]byte, 0, n)
	b = protowire.AppendTag(b, 1, protowire.BytesType)
	b = protowire.AppendString(b, version)
	for _, r := range changed {
		size := fieldSize(1, len(r.Version)) + fieldSize(3, len(r.Name))
		if !bare {
			size += fieldSize(2, len(r.any))
		}
		ttl := 1 + protowire.SizeVarint(uint64(ttlSeconds)) // Duration.seconds
		if ttlSeconds > 0 {
			size += fieldSize(6, ttl)
		}
		b = protowire.AppendTag(b, 2, protowire.BytesType)
		b = protowire.AppendVarint(b, uint64(size))
		b = protowire.AppendTag(b, 1, protowire.BytesType)
		b = protowire.AppendString(b, r.Version)
		if !bare {
			b = protowire.AppendTag(b, 2, protowire.BytesType)
			b = protowire.AppendBytes(b, r.any)
		}
		b = protowire.AppendTag(b, 3, protowire.BytesType)
		b = protowire.AppendString(b, r.Name)
		if ttlSeconds > 0 {
			b = protowire.AppendTag(b, 6, protowire.BytesType)
			b = protowire.AppendVarint(b, uint64(ttl))
			b = protowire.AppendTag(b, 1, protowire.VarintType)
			b = protowire.AppendVarint(b, uint64(ttlSeconds))
		}
	}
	b = protowire.AppendTag(b, 4, protowire.BytesType)
	b = protowire.AppendString(b, typeURL)
	b = protowire.AppendTag(b, 5, protowire.BytesType)
	b = protowire.AppendString(b, nonce)
	for _, name := range removed {
		b = protowire.AppendTag(b, 6, protowire.BytesType)
		b = protowire.AppendString(b, name)
	}
	return b
}

func fieldSize(num protowire.Number, n int) int {
	return protowire.SizeTag(num) + protowire.SizeBytes(n)
}

// byName orders resources for a stable response.
func byName(rs []*Resource) {
	slices.SortFunc(rs, func(a, b *Resource) int { return cmp.Compare(a.Name, b.Name) })
}
