// Package resource renders the decisions of package assign as xDS resources, marshalled once for all proxies
// of a group. It does no I/O and reads no clock: the same input results in the same bytes and the same
// versions in every process.
//
// A resource's version is a hash of its bytes. Versions are compared only for equality: they do not order
// replicas, and a proxy that reconnects to another replica is not sent resources that it already has.
package resource

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// The type URLs of the served resources.
const (
	Listener   = "type.googleapis.com/envoy.config.listener.v3.Listener"
	Route      = "type.googleapis.com/envoy.config.route.v3.RouteConfiguration"
	Cluster    = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
	Endpoints  = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
	LbEndpoint = "type.googleapis.com/envoy.config.endpoint.v3.LbEndpoint" // LEDS, incremental only
)

// Types lists the type URLs in the order in which changes are sent: endpoints first, since only drains are
// urgent, then each type after those that it refers to (make before break).
var Types = []string{LbEndpoint, Endpoints, Cluster, Listener, Route}

// versionBytes is the number of hash bytes that form a version.
const versionBytes = 8

// Resource is one marshalled resource. It is immutable.
type Resource struct {
	Name    string
	Version string
	any     []byte // marshalled google.protobuf.Any
}

// New marshals a message as a resource. It fails only for an invalid message.
func New(typeURL, name string, m proto.Message) (*Resource, error) {
	value, err := marshal(m)
	if err != nil {
		return nil, err
	}
	return fromValue(typeURL, name, value, version(value)), nil
}

// marshal encodes a message. The bytes are the same in every process of a release.
func marshal(m proto.Message) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(m)
}

// fromValue returns a resource for an already marshalled message.
func fromValue(typeURL, name string, value []byte, version string) *Resource {
	b := make([]byte, 0, len(value)+len(typeURL)+16)
	b = appendString(b, 1, typeURL)
	b = appendBytes(b, 2, value)
	return &Resource{Name: name, Version: version, any: b}
}

// version returns a hash of the parts, each prefixed with its length.
func version(parts ...[]byte) string {
	h := sha256.New()
	for _, p := range parts {
		h.Write(protowire.AppendVarint(nil, uint64(len(p))))
		h.Write(p)
	}
	return hex.EncodeToString(h.Sum(nil)[:versionBytes])
}

// Set is a set of resources of one type or one collection. It is immutable; a nil Set is empty.
type Set struct {
	Version string
	byName  map[string]*Resource
	names   []string // sorted
}

// NewSet returns a set of the resources. If two have the same name, the later one is used.
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
	for _, name := range s.names {
		h.Write([]byte(name))
		h.Write([]byte{0})
		h.Write([]byte(s.byName[name].Version))
	}
	s.Version = hex.EncodeToString(h.Sum(nil)[:versionBytes])
	return s
}

// Get returns the resource with a name, or nil.
func (s *Set) Get(name string) *Resource {
	if s == nil {
		return nil
	}
	return s.byName[name]
}

// Names returns the sorted names. The caller must not change the slice.
func (s *Set) Names() []string {
	if s == nil {
		return nil
	}
	return s.names
}

// All returns the resources, sorted by name.
func (s *Set) All() []*Resource {
	all, _ := s.Diff(nil)
	return all
}

// Diff returns the resources of s that are new or changed since old, and the names of those in old that s
// does not have, both sorted by name.
func (s *Set) Diff(old *Set) (changed []*Resource, removed []string) {
	for _, name := range s.Names() {
		r := s.byName[name]
		if previous := old.Get(name); previous == nil || previous.Version != r.Version {
			changed = append(changed, r)
		}
	}
	for _, name := range old.Names() {
		if s.Get(name) == nil {
			removed = append(removed, name)
		}
	}
	return changed, removed
}
