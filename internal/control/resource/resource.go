// Package resource renders the decisions of package assign as xDS resources, marshalled once for all proxies
// of a group and ready for the wire. It does no I/O and reads no clock; the same input gives the same bytes
// and the same versions in every process.
//
// A resource's version is a hash of its bytes. Versions are compared for equality only: no replica is ahead
// of another, and a proxy that reconnects to another replica is sent nothing that it has.
package resource

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// The type URLs of the resources that are served.
const (
	Listener   = "type.googleapis.com/envoy.config.listener.v3.Listener"
	Route      = "type.googleapis.com/envoy.config.route.v3.RouteConfiguration"
	Cluster    = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
	Endpoints  = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
	LbEndpoint = "type.googleapis.com/envoy.config.endpoint.v3.LbEndpoint" // of LEDS, incremental only
)

// Types lists the type URLs in the order in which changes are sent: endpoints first, since only a drain is
// urgent; then what others refer to before what refers to it (make before break).
var Types = []string{LbEndpoint, Endpoints, Cluster, Listener, Route}

// versionBytes is how much of a hash makes a version.
const versionBytes = 8

// Resource is one marshalled resource. It is immutable.
type Resource struct {
	Name    string
	Version string
	any     []byte // google.protobuf.Any
}

// New marshals a message as a resource. An error is a defect of the message.
func New(typeURL, name string, m proto.Message) (*Resource, error) {
	value, err := marshal(m)
	if err != nil {
		return nil, err
	}
	return fromValue(typeURL, name, value, version(value)), nil
}

// marshal encodes a message to the same bytes in every process of a release.
func marshal(m proto.Message) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(m)
}

// fromValue makes a resource of an already marshalled message.
func fromValue(typeURL, name string, value []byte, version string) *Resource {
	b := make([]byte, 0, len(value)+len(typeURL)+16)
	b = appendString(b, 1, typeURL)
	b = appendBytes(b, 2, value)
	return &Resource{Name: name, Version: version, any: b}
}

// version hashes parts, each preceded by its length.
func version(parts ...[]byte) string {
	h := sha256.New()
	for _, p := range parts {
		h.Write(protowire.AppendVarint(nil, uint64(len(p))))
		h.Write(p)
	}
	return hex.EncodeToString(h.Sum(nil)[:versionBytes])
}

// Set is the resources of one type, or of one collection, that are sent together. It is immutable; a nil Set
// is empty.
type Set struct {
	Version string
	byName  map[string]*Resource
	names   []string // sorted
}

// NewSet makes a set; of two resources with one name the later is used.
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

// Get returns the resource of a name, or nil.
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

// Diff returns the resources of s that are new or changed since old, and the names of old that s does not
// have, both sorted by name.
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
