package thriftwire

import (
	"encoding/binary"
)

// Reader is an incremental parser that finds the end of one message. The bytes may arrive in pieces of
// any size: each call of Read continues where the last one stopped, and parses only an incomplete header
// or number again, so that the time stays linear. A Reader is reusable after Reset.
type Reader struct {
	Message
	limits Limits
	paths  []Path

	pos         int // offset of the first byte that is not parsed yet
	skipBytes   int // bytes of the current value that are still to be skipped
	state       state
	stack       []level
	nameLength  int            // length of the name, once known
	nameStart   int            // offset of the name
	currentPath [MaxPath]int16 // ids of the open structs' current fields
	fieldIndex  int            // index in Fields of the string that is being skipped; -1: none
}

type state uint8

const (
	beforeName state = iota
	inName
	afterName // the part of the header that follows the name
	inBody
	complete
)

// level is a struct or container whose end has not been reached.
type level struct {
	kind        Type
	lastID      int16 // struct: the id of the last field
	key, value  Type  // map: both; list and set: value
	remaining   int   // container: elements that remain; a map's keys and values count separately
	onlyStructs bool  // struct: it is nested in structs only, so that a path may lead into it
	depth       int   // struct: how many structs it is nested in
}

// NewReader returns a reader, which detects the protocol of a message by its first bytes. It records the
// fields that the first MaxFields of paths select.
func NewReader(limits Limits, paths ...Path) *Reader {
	r := &Reader{paths: paths[:min(len(paths), MaxFields)]}
	r.Reset(limits)
	return r
}

// Reset prepares the reader for another message.
func (r *Reader) Reset(limits Limits) {
	if limits.Size <= 0 {
		limits.Size = defaultSize
	}
	if limits.Depth <= 0 {
		limits.Depth = defaultDepth
	}
	*r = Reader{limits: limits, paths: r.paths, stack: r.stack[:0], fieldIndex: -1}
	r.FirstFieldID = -1
}

// Read continues parsing. b holds the message from its first byte on, as far as it has arrived, and may
// hold bytes after its end. It returns true once the message is complete: then Size is its length, and
// Message describes it, with Name as a slice of b. An error is final.
func (r *Reader) Read(b []byte) (bool, error) {
	for {
		if r.skipBytes > 0 {
			n := min(r.skipBytes, len(b)-r.pos)
			r.pos, r.skipBytes = r.pos+n, r.skipBytes-n
			if r.skipBytes > 0 {
				return false, r.checkSize(r.pos + r.skipBytes)
			}
			if r.fieldIndex >= 0 {
				r.Fields[r.fieldIndex].End, r.fieldIndex = r.pos, -1
			}
		}
		var ok bool
		var err error
		switch r.state {
		case beforeName:
			ok, err = r.readBeforeName(b)
		case inName:
			ok, err = r.setName(b)
		case afterName:
			ok, err = r.readAfterName(b)
		case inBody:
			ok, err = r.readBody(b)
		case complete:
			r.Size = r.pos
			return true, nil
		}
		if err == nil {
			err = r.checkSize(r.pos)
		}
		if err != nil {
			return false, err
		}
		if !ok {
			return false, nil
		}
	}
}

func (r *Reader) checkSize(n int) error {
	if n > r.limits.Size {
		return ErrTooLarge
	}
	return nil
}

// readBeforeName reads the header up to the length of the name.
func (r *Reader) readBeforeName(b []byte) (bool, error) {
	if len(b) == 0 {
		return false, nil
	}
	switch {
	case b[0] == 0x82:
		if len(b) < 2 {
			return false, nil
		}
		if b[1]&0x1f != 1 {
			return false, malformed("compact version %d", b[1]&0x1f)
		}
		r.Protocol = Compact
		if err := r.setKind(b[1] >> 5); err != nil {
			return false, err
		}
		seq, n, err := varint(b[2:], 32)
		if n == 0 || err != nil {
			return false, err
		}
		r.Seq, r.seqStart, r.seqEnd = int32(uint32(seq)), 2, 2+n
		size, m, err := varint(b[2+n:], 32)
		if m == 0 || err != nil {
			return false, err
		}
		r.pos = 2 + n + m
		return true, r.setNameLength(int64(size))
	case b[0] == 0x80:
		if len(b) < 8 {
			return false, nil
		}
		if b[1] != 1 || b[2] != 0 {
			return false, malformed("binary version %#x", b[:3])
		}
		r.Protocol = Binary
		if err := r.setKind(b[3]); err != nil {
			return false, err
		}
		r.pos = 8
		return true, r.setNameLength(int64(int32(binary.BigEndian.Uint32(b[4:]))))
	case b[0] == 0:
		if len(b) < 4 {
			return false, nil
		}
		r.Protocol = OldBinary
		r.pos = 4
		return true, r.setNameLength(int64(int32(binary.BigEndian.Uint32(b))))
	}
	return false, malformed("no message begins with %#x", b[0])
}

func (r *Reader) setKind(k byte) error {
	if r.Kind = Kind(k); r.Kind < Call || r.Kind > Oneway {
		return malformed("message type %d", k)
	}
	return nil
}

func (r *Reader) setNameLength(n int64) error {
	if n < 0 || n > MaxName {
		return malformed("a name of %d bytes", n)
	}
	r.nameLength, r.nameStart, r.state = int(n), r.pos, inName
	r.skipBytes = r.nameLength
	return nil
}

// setName runs once the name has arrived.
func (r *Reader) setName(b []byte) (bool, error) {
	r.Name = b[r.nameStart : r.nameStart+r.nameLength]
	r.state = afterName
	return true, nil
}

// readAfterName reads the rest of the header, which follows the name.
func (r *Reader) readAfterName(b []byte) (bool, error) {
	rest := b[r.pos:]
	switch r.Protocol {
	case Binary:
		if len(rest) < 4 {
			return false, nil
		}
		r.seqStart = r.pos
	case OldBinary:
		if len(rest) < 5 {
			return false, nil
		}
		if err := r.setKind(rest[0]); err != nil {
			return false, err
		}
		r.seqStart = r.pos + 1
	}
	if r.Protocol != Compact {
		r.seqEnd = r.seqStart + 4
		r.Seq = int32(binary.BigEndian.Uint32(b[r.seqStart:]))
		r.pos = r.seqEnd
	}
	r.Body, r.state = r.pos, inBody
	return true, r.push(level{kind: Struct, onlyStructs: true})
}

func (r *Reader) push(l level) error {
	if len(r.stack) >= r.limits.Depth {
		return ErrTooDeep
	}
	r.stack = append(r.stack, l)
	return nil
}

// readBody reads one field, or one or more elements of a container; of those with parts, the header.
func (r *Reader) readBody(b []byte) (bool, error) {
	if len(r.stack) == 0 {
		r.state = complete
		return true, nil
	}
	top := &r.stack[len(r.stack)-1]
	if top.kind == Struct {
		return r.readField(b, top)
	}
	if top.remaining == 0 {
		r.stack = r.stack[:len(r.stack)-1]
		return true, nil
	}
	t := top.value
	if top.kind == Map && top.remaining%2 == 0 {
		t = top.key
	}
	if n := t.fixedSize(); n > 0 && (r.Protocol != Compact || n == 1 || t == Double || t == UUID) && (top.kind != Map || top.key == top.value) {
		// All elements are skipped at once; readContainer has bounded their number by the size limit.
		r.skipBytes, top.remaining = n*top.remaining, 0
		return true, nil
	}
	before := r.pos
	if err := r.skipElements(b, top); err != nil || r.pos > before {
		return err == nil, err
	}
	ok, err := r.readValue(b, t, -1, level{})
	if ok && err == nil {
		// readValue may have pushed a level, and moved the stack: top is not valid any longer.
		r.containerOf(t).remaining--
	}
	return ok, err
}

// skipElements skips elements that are not nested, as long as the next one has arrived completely.
func (r *Reader) skipElements(b []byte, top *level) error {
	for top.remaining > 0 {
		t, rest := top.value, b[r.pos:]
		if top.kind == Map && top.remaining%2 == 0 {
			t = top.key
		}
		n := t.fixedSize()
		switch {
		case r.Protocol == Compact && (t == I16 || t == I32 || t == I64):
			var err error
			if n, err = varintSize(rest, 8*n); n == 0 || err != nil {
				return err
			}
		case t == String:
			size, m, err := r.readStringLength(rest)
			if m == 0 || err != nil {
				return err
			}
			n = m + size
		case n == 0:
			return nil
		}
		if len(rest) < n {
			return nil
		}
		r.pos += n
		top.remaining--
		if err := r.checkSize(r.pos); err != nil {
			return err
		}
	}
	return nil
}

// readStringLength reads the length of a string. n is the size of its encoding, 0 if that is incomplete.
func (r *Reader) readStringLength(rest []byte) (size, n int, err error) {
	size64 := int64(0)
	if r.Protocol == Compact {
		v, m, err := varint(rest, 32)
		if m == 0 || err != nil {
			return 0, 0, err
		}
		size64, n = int64(int32(uint32(v))), m
	} else {
		if len(rest) < 4 {
			return 0, 0, nil
		}
		size64, n = int64(int32(binary.BigEndian.Uint32(rest))), 4
	}
	switch {
	case size64 < 0:
		return 0, 0, malformed("a string of %d bytes", size64)
	case size64 > int64(r.limits.Size-r.pos):
		return 0, 0, ErrTooLarge
	}
	return int(size64), n, nil
}

// containerOf returns the container of an element of type t, once readValue has read the element, which
// has pushed a level of its own if it has parts.
func (r *Reader) containerOf(t Type) *level {
	switch t {
	case Struct, Map, Set, List:
		return &r.stack[len(r.stack)-2]
	}
	return &r.stack[len(r.stack)-1]
}

// readField reads the header of a field, and its value, or the beginning of one that has parts.
func (r *Reader) readField(b []byte, top *level) (bool, error) {
	rest := b[r.pos:]
	if len(rest) == 0 {
		return false, nil
	}
	var t Type
	var id int16
	var n int
	var isTrue bool
	if r.Protocol == Compact {
		code, delta := rest[0]&0x0f, rest[0]>>4
		if rest[0] == 0 {
			r.pos++
			r.stack = r.stack[:len(r.stack)-1]
			return true, nil
		}
		if t = compactTypes[code]; t == 0 {
			return false, malformed("field type %d", code)
		}
		isTrue, n = code == 1, 1
		if delta != 0 {
			id = top.lastID + int16(delta)
			if id < top.lastID {
				return false, malformed("field id over %d", top.lastID)
			}
		} else {
			v, m, err := varint(rest[1:], 16)
			if m == 0 || err != nil {
				return false, err
			}
			id, n = int16(unzigzag(v)), 1+m
		}
	} else {
		if rest[0] == 0 {
			r.pos++
			r.stack = r.stack[:len(r.stack)-1]
			return true, nil
		}
		if t = Type(rest[0]); !t.isKnown() {
			return false, malformed("field type %d", rest[0])
		}
		if len(rest) < 3 {
			return false, nil
		}
		id, n = int16(binary.BigEndian.Uint16(rest[1:])), 3
	}
	fieldIndex, depth := -1, top.depth
	if top.onlyStructs && depth < MaxPath {
		r.currentPath[depth] = id
		fieldIndex = r.findPath(depth)
	}
	inner := level{kind: Struct, onlyStructs: top.onlyStructs, depth: depth + 1}
	fieldStart := r.pos
	r.pos += n
	if r.Protocol == Compact && t == Bool {
		if fieldIndex >= 0 {
			r.Fields[fieldIndex] = Field{Found: true, Start: r.pos, End: r.pos, Type: Bool, Bool: isTrue}
		}
	} else {
		ok, err := r.readValue(b, t, fieldIndex, inner)
		if !ok || err != nil {
			r.pos = fieldStart // the field's header is read again once more has arrived
			return ok, err
		}
	}
	// top is not valid any longer if the value pushed a level.
	parent := len(r.stack) - 1
	if (t == Struct || t == Map || t == Set || t == List) && parent > 0 {
		parent--
	}
	r.stack[parent].lastID = id
	if parent == 0 && r.FirstFieldID < 0 {
		r.FirstFieldID = int32(uint16(id))
	}
	return true, nil
}

// findPath returns the index of the path that selects the current field; -1: none does.
func (r *Reader) findPath(depth int) int {
	for i, p := range r.paths {
		if len(p) != depth+1 {
			continue
		}
		equal := true
		for k := range p {
			equal = equal && p[k] == r.currentPath[k]
		}
		if equal {
			return i
		}
	}
	return -1
}

// readValue reads a value, or the beginning of one that has parts. fieldIndex is the index in Fields of a
// selected field, else -1; inner is the level to push for a struct.
func (r *Reader) readValue(b []byte, t Type, fieldIndex int, inner level) (bool, error) {
	rest := b[r.pos:]
	available := r.limits.Size - r.pos
	switch t {
	case Struct:
		inner.kind = Struct
		return true, r.push(inner)
	case String:
		size, n, err := r.readStringLength(rest)
		if n == 0 || err != nil {
			return false, err
		}
		r.pos += n
		r.skipBytes = size
		if fieldIndex >= 0 {
			r.Fields[fieldIndex] = Field{Found: true, Start: r.pos, End: r.pos, Type: String}
			if size > 0 {
				r.fieldIndex = fieldIndex
			}
		}
		return true, nil
	case List, Set, Map:
		return r.readContainer(rest, t, available)
	}
	n := t.fixedSize()
	var bits uint64
	if r.Protocol == Compact && (t == I16 || t == I32 || t == I64) {
		v, m, err := varint(rest, 8*t.fixedSize())
		if m == 0 || err != nil {
			return false, err
		}
		bits, n = uint64(unzigzag(v)), m
	} else {
		if len(rest) < n {
			return false, nil
		}
		switch t {
		case Byte, Bool:
			bits = uint64(int64(int8(rest[0])))
		case I16:
			bits = uint64(int64(int16(binary.BigEndian.Uint16(rest))))
		case I32:
			bits = uint64(int64(int32(binary.BigEndian.Uint32(rest))))
		case I64:
			bits = binary.BigEndian.Uint64(rest)
		}
	}
	if fieldIndex >= 0 {
		r.Fields[fieldIndex] = Field{Found: true, Start: r.pos, End: r.pos + n, Type: t, Int: bits, Bool: t == Bool && bits&0xff == 1}
	}
	r.pos += n
	return true, nil
}

// readContainer reads the header of a list, set or map and pushes its level.
func (r *Reader) readContainer(rest []byte, t Type, available int) (bool, error) {
	l := level{kind: t}
	var size int64
	var n int
	switch {
	case r.Protocol == Compact && t == Map:
		v, m, err := varint(rest, 32)
		if m == 0 || err != nil {
			return false, err
		}
		size, n = int64(int32(uint32(v))), m
		if size == 0 {
			break
		}
		if len(rest) <= m {
			return false, nil
		}
		l.key, l.value, n = compactTypes[rest[m]>>4], compactTypes[rest[m]&0x0f], m+1
	case r.Protocol == Compact:
		if len(rest) == 0 {
			return false, nil
		}
		l.value, size, n = compactTypes[rest[0]&0x0f], int64(rest[0]>>4), 1
		if size == 15 {
			v, m, err := varint(rest[1:], 32)
			if m == 0 || err != nil {
				return false, err
			}
			size, n = int64(int32(uint32(v))), 1+m
		}
	case t == Map:
		if len(rest) < 6 {
			return false, nil
		}
		l.key, l.value, size, n = Type(rest[0]), Type(rest[1]), int64(int32(binary.BigEndian.Uint32(rest[2:]))), 6
	default:
		if len(rest) < 5 {
			return false, nil
		}
		l.value, size, n = Type(rest[0]), int64(int32(binary.BigEndian.Uint32(rest[1:]))), 5
	}
	if size < 0 {
		return false, malformed("a container of %d elements", size)
	}
	minBytes := int64(1) // the shortest encoding of an element is one byte
	if t == Map {
		minBytes = 2
	}
	if f := l.value.fixedSize(); f > 0 && r.Protocol != Compact && t != Map {
		minBytes = int64(f)
	}
	if size*minBytes > int64(available) {
		return false, ErrTooLarge
	}
	if size > 0 && (!l.value.isKnown() || t == Map && !l.key.isKnown()) {
		return false, malformed("a container of type %d", l.value)
	}
	l.remaining = int(size)
	if t == Map {
		l.remaining *= 2
	}
	r.pos += n
	return true, r.push(l)
}

// varint reads an unsigned varint. n is 0 if it is incomplete. One that takes more bytes than the given
// number of bits needs, or whose value does not fit them, is malformed.
func varint(b []byte, bits int) (v uint64, n int, err error) {
	if len(b) > 0 && b[0] < 0x80 {
		return uint64(b[0]), 1, nil
	}
	maxBytes := (bits + 6) / 7
	for i := range b {
		if i >= maxBytes {
			return 0, 0, malformed("a varint of more than %d bytes", maxBytes)
		}
		c := b[i]
		v |= uint64(c&0x7f) << (7 * i)
		if c < 0x80 {
			if extra := 7*(i+1) - bits; extra > 0 && c>>(7-extra) != 0 {
				return 0, 0, malformed("a varint over %d bits", bits)
			}
			return v, i + 1, nil
		}
	}
	if len(b) >= maxBytes {
		return 0, 0, malformed("a varint of more than %d bytes", maxBytes)
	}
	return 0, 0, nil
}

// varintSize returns the size of a varint whose value is not needed.
func varintSize(b []byte, bits int) (int, error) {
	maxBytes := (bits + 6) / 7
	for i, c := range b[:min(len(b), maxBytes)] {
		if c < 0x80 {
			if i < maxBytes-1 || c>>(7-(7*maxBytes-bits)) == 0 {
				return i + 1, nil
			}
			break
		}
	}
	_, n, err := varint(b, bits) // returns the error of a malformed one
	return n, err
}

func unzigzag(v uint64) int64 { return int64(v>>1) ^ -int64(v&1) }
