package resource

import "google.golang.org/protobuf/encoding/protowire"

// responseOverhead bounds the encoded size of the tags and lengths of a response's own fields.
const responseOverhead = 32

// Response is a DiscoveryResponse of the state-of-the-world variant of the protocol.
type Response struct {
	TypeURL   string
	Version   string
	Nonce     string
	Resources []*Resource
}

// Marshal encodes the response from the resources' marshalled bytes.
func (r *Response) Marshal() []byte {
	size := len(r.TypeURL) + len(r.Version) + len(r.Nonce) + responseOverhead
	for _, res := range r.Resources {
		size += len(res.any) + 8
	}
	b := make([]byte, 0, size)
	b = appendString(b, 1, r.Version)
	for _, res := range r.Resources {
		b = appendBytes(b, 2, res.any)
	}
	b = appendString(b, 4, r.TypeURL)
	return appendString(b, 5, r.Nonce)
}

// DeltaResponse is a DeltaDiscoveryResponse of the incremental variant of the protocol.
type DeltaResponse struct {
	TypeURL    string
	Version    string
	Nonce      string
	Changed    []*Resource
	Removed    []string
	TTLSeconds int  // TTL of each resource; 0: none
	Heartbeat  bool // omit the bodies of the resources, to renew only their TTL
}

// Marshal encodes the response from the resources' marshalled bytes.
func (d *DeltaResponse) Marshal() []byte {
	size := len(d.TypeURL) + len(d.Version) + len(d.Nonce) + responseOverhead
	for _, r := range d.Changed {
		size += len(r.any) + len(r.Name) + len(r.Version) + 24
	}
	b := make([]byte, 0, size)
	b = appendString(b, 1, d.Version)
	for _, r := range d.Changed {
		b = d.appendResource(b, r)
	}
	b = appendString(b, 4, d.TypeURL)
	b = appendString(b, 5, d.Nonce)
	for _, name := range d.Removed {
		b = appendString(b, 6, name)
	}
	return b
}

// appendResource appends a resource as field 2, a message of type Resource.
func (d *DeltaResponse) appendResource(b []byte, r *Resource) []byte {
	size := fieldSize(1, len(r.Version)) + fieldSize(3, len(r.Name))
	if !d.Heartbeat {
		size += fieldSize(2, len(r.any))
	}
	ttlSize := 1 + protowire.SizeVarint(uint64(d.TTLSeconds)) // Duration.seconds
	if d.TTLSeconds > 0 {
		size += fieldSize(6, ttlSize)
	}
	b = protowire.AppendTag(b, 2, protowire.BytesType)
	b = protowire.AppendVarint(b, uint64(size))
	b = appendString(b, 1, r.Version)
	if !d.Heartbeat {
		b = appendBytes(b, 2, r.any)
	}
	b = appendString(b, 3, r.Name)
	if d.TTLSeconds > 0 {
		b = protowire.AppendTag(b, 6, protowire.BytesType)
		b = protowire.AppendVarint(b, uint64(ttlSize))
		b = protowire.AppendTag(b, 1, protowire.VarintType)
		b = protowire.AppendVarint(b, uint64(d.TTLSeconds))
	}
	return b
}

func appendString(b []byte, field protowire.Number, s string) []byte {
	b = protowire.AppendTag(b, field, protowire.BytesType)
	return protowire.AppendString(b, s)
}

func appendBytes(b []byte, field protowire.Number, value []byte) []byte {
	b = protowire.AppendTag(b, field, protowire.BytesType)
	return protowire.AppendBytes(b, value)
}

// fieldSize returns the encoded size of a length-delimited field with n bytes of content.
func fieldSize(field protowire.Number, n int) int {
	return protowire.SizeTag(field) + protowire.SizeBytes(n)
}
