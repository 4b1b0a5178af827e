package thriftwire

import (
	"encoding/binary"
)

// Reader finds the end of one message in bytes that come bit by bit. Each byte is looked at once,
// however they are cut: it goes on where it stood. A Reader is used again after Reset.
type Reader struct {
	Message
	limits Limits
	paths  []Path

	pos    int // what is before it has been read
	skip   int // bytes of a value that are passed by
	stage  stage
	stack  []level
	name   int // length of the name, once known
	header int // bytes of the header before the name
	cur    [MaxPath]int16
	want   int // the field whose string is passed by; -1: none
}

type stage uint8

const (
	atStart stage = iota
	inName
	inTail // of the header, behind the name
	inBody
	done
)

// level is a struct or container that is open.
type level struct {
	kind       Type
	last       int16 // struct: the id of the last field
	key, value Type  // map: both; list and set: value
	left       int   // container: elements, of a map keys and values
	outer      bool  // struct: nothing but structs around it
	path       int   // struct: its place in paths
}

// NewReader returns a reader for messages of this protocol; 0 tells it from the first bytes. It notes
// the fields that paths name, MaxFields of them at the most.
func NewReader(limits Limits, paths ...Path) *Reader {
	r := &Reader{paths: paths[:min(len(paths), MaxFields)]}
	r.Reset(limits)
	return r
}

// Reset makes the reader ready for another message.
func (r *Reader) Reset(limits Limits) {
	if limits.Size <= 0 {
		limits.Size = defaultSize
	}
	if limits.Depth <= 0 {
		limits.Depth = defaultDepth
	}
	*r = Reader{limits: limits, paths: r.paths, stack: r.stack[:0], want: -1}
	r.FirstFieldID = -1
}

// Read goes on reading. b is the message from its first byte on, with all that has come of it so far,
// and perhaps what comes behind. It returns true once the message is whole: then Size is its length,
// and Message describes it, with Name as part of b. An error is final.
func (r *Reader) Read(b []byte) (bool, error) {
	for {
		if r.skip > 0 {
			n := min(r.skip, len(b)-r.pos)
			r.pos, r.skip = r.pos+n, r.skip-n
			if r.skip > 0 {
				return false, r.sized(r.pos + r.skip)
			}
			if r.want >= 0 {
				r.Fields[r.want].End, r.want = r.pos, -1
			}
		}
		var ok bool
		var err error
		switch r.stage {
		case atStart:
			ok, err = r.start(b)
		case inName:
			ok, err = r.named(b)
		case inTail:
			ok, err = r.tail(b)
		case inBody:
			ok, err = r.body(b)
		case done:
			r.Size = r.pos
			return true, nil
		}
		if err == nil {
			err = r.sized(r.pos)
		}
		if err != nil {
			return false, err
		}
		if !ok {
			return false, nil
		}
	}
}

func (r *Reader) sized(n int) error {
	if n > r.limits.Size {
		return ErrTooLarge
	}
	return nil
}

// start reads what stands before the name.
func (r *Reader) start(b []byte) (bool, error) {
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
		if err := r.kind(b[1] >> 5); err != nil {
			return false, err
		}
		seq, n, err := varint(b[2:], 32)
		if n == 0 || err != nil {
			return false, err
		}
		r.Seq, r.seqAt, r.seqEnd = int32(uint32(seq)), 2, 2+n
		size, m, err := varint(b[2+n:], 32)
		if m == 0 || err != nil {
			return false, err
		}
		r.pos = 2 + n + m
		return true, r.setName(int64(size))
	case b[0] == 0x80:
		if len(b) < 8 {
			return false, nil
		}
		if b[1] != 1 || b[2] != 0 {
			return false, malformed("binary version %#x", b[:3])
		}
		r.Protocol = Binary
		if err := r.kind(b[3]); err != nil {
			return false, err
		}
		r.pos = 8
		return true, r.setName(int64(int32(binary.BigEndian.Uint32(b[4:]))))
	case b[0] == 0:
		if len(b) < 4 {
			return false, nil
		}
		r.Protocol = OldBinary
		r.pos = 4
		return true, r.setName(int64(int32(binary.BigEndian.Uint32(b))))
	}
	return false, malformed("no message begins with %#x", b[0])
}

func (r *Reader) kind(k byte) error {
	if r.Kind = Kind(k); r.Kind < Call || r.Kind > Oneway {
		return malformed("message type %d", k)
	}
	return nil
}

func (r *Reader) setName(n int64) error {
	if n < 0 || n > MaxName {
		return malformed("a name of %d bytes", n)
	}
	r.name, r.header, r.stage = int(n), r.pos, inName
	r.skip = r.name
	return nil
}

// named is reached once the name has been passed.
func (r *Reader) named(b []byte) (bool, error) {
	r.Name = b[r.header : r.header+r.name]
	r.stage = inTail
	return true, nil
}

// tail reads what stands behind the name.
func (r *Reader) tail(b []byte) (bool, error) {
	rest := b[r.pos:]
	switch r.Protocol {
	case Binary:
		if len(rest) < 4 {
			return false, nil
		}
		r.seqAt = r.pos
	case OldBinary:
		if len(rest) < 5 {
			return false, nil
		}
		if err := r.kind(rest[0]); err != nil {
			return false, err
		}
		r.seqAt = r.pos + 1
	}
	if r.Protocol != Compact {
		r.seqEnd = r.seqAt + 4
		r.Seq = int32(binary.BigEndian.Uint32(b[r.seqAt:]))
		r.pos = r.seqEnd
	}
	r.Body, r.stage = r.pos, inBody
	return true, r.open(level{kind: Struct, outer: true})
}

func (r *Reader) open(l level) error {
	if len(r.stack) >= r.limits.Depth {
		return ErrTooDeep
	}
	r.stack = append(r.stack, l)
	return nil
}

// body reads one field's header, one element or one value's header.
func (r *Reader) body(b []byte) (bool, error) {
	if len(r.stack) == 0 {
		r.stage = done
		return true, nil
	}
	top := &r.stack[len(r.stack)-1]
	if top.kind == Struct {
		return r.field(b, top)
	}
	if top.left == 0 {
		r.stack = r.stack[:len(r.stack)-1]
		return true, nil
	}
	t := top.value
	if top.kind == Map && top.left%2 == 0 {
		t = top.key
	}
	if n := t.fixed(); n > 0 && (r.Protocol != Compact || n == 1 || t == Double || t == UUID) && (top.kind != Map || top.key == top.value) {
		// All elements at once: their number is bounded by the bytes there may be.
		r.skip, top.left = n*top.left, 0
		return true, nil
	}
	before := r.pos
	if err := r.run(b, top); err != nil || r.pos > before {
		return err == nil, err
	}
	ok, err := r.value(b, t, -1, level{})
	if ok && err == nil {
		// value may have grown the stack; the level is where it was.
		r.at(t).left--
	}
	return ok, err
}

// run passes elements without parts by, as long as all of one is there.
func (r *Reader) run(b []byte, top *level) error {
	for top.left > 0 {
		t, rest := top.value, b[r.pos:]
		if top.kind == Map && top.left%2 == 0 {
			t = top.key
		}
		n := t.fixed()
		switch {
		case r.Protocol == Compact && (t == I16 || t == I32 || t == I64):
			var err error
			if n, err = varintSize(rest, 8*n); n == 0 || err != nil {
				return err
			}
		case t == String:
			size, m, err := r.length(rest)
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
		top.left--
		if err := r.sized(r.pos); err != nil {
			return err
		}
	}
	return nil
}

// length reads a string's. n is the bytes that it takes, 0 where they are not all there yet.
func (r *Reader) length(rest []byte) (size, n int, err error) {
	long := int64(0)
	if r.Protocol == Compact {
		v, m, err := varint(rest, 32)
		if m == 0 || err != nil {
			return 0, 0, err
		}
		long, n = int64(int32(uint32(v))), m
	} else {
		if len(rest) < 4 {
			return 0, 0, nil
		}
		long, n = int64(int32(binary.BigEndian.Uint32(rest))), 4
	}
	switch {
	case long < 0:
		return 0, 0, malformed("a string of %d bytes", long)
	case long > int64(r.limits.Size-r.pos):
		return 0, 0, ErrTooLarge
	}
	return int(long), n, nil
}

// at is the level that an element of type t belongs to, after its value was begun.
func (r *Reader) at(t Type) *level {
	switch t {
	case Struct, Map, Set, List:
		return &r.stack[len(r.stack)-2]
	}
	return &r.stack[len(r.stack)-1]
}

// field reads a field's header and begins its value.
func (r *Reader) field(b []byte, top *level) (bool, error) {
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
			id = top.last + int16(delta)
			if id < top.last {
				return false, malformed("field id over %d", top.last)
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
		if t = Type(rest[0]); !t.known() {
			return false, malformed("field type %d", rest[0])
		}
		if len(rest) < 3 {
			return false, nil
		}
		id, n = int16(binary.BigEndian.Uint16(rest[1:])), 3
	}
	want, path := -1, top.path
	if top.outer && path < MaxPath {
		r.cur[path] = id
		want = r.wanted(path)
	}
	inner := level{kind: Struct, outer: top.outer, path: path + 1}
	at := r.pos
	r.pos += n
	if r.Protocol == Compact && t == Bool {
		if want >= 0 {
			r.Fields[want] = Field{Found: true, Start: r.pos, End: r.pos, Type: Bool, Bool: isTrue}
		}
	} else {
		ok, err := r.value(b, t, want, inner)
		if !ok || err != nil {
			r.pos = at // the header is read again with its value's
			return ok, err
		}
	}
	// The stack may have moved.
	depth := len(r.stack) - 1
	if (t == Struct || t == Map || t == Set || t == List) && depth > 0 {
		depth--
	}
	r.stack[depth].last = id
	if depth == 0 && r.FirstFieldID < 0 {
		r.FirstFieldID = int32(uint16(id))
	}
	return true, nil
}

// wanted finds the path that the field just begun is at the end of.
func (r *Reader) wanted(depth int) int {
	for i, p := range r.paths {
		if len(p) != depth+1 {
			continue
		}
		same := true
		for k := range p {
			same = same && p[k] == r.cur[k]
		}
		if same {
			return i
		}
	}
	return -1
}

// value reads a value, or the beginning of one that has parts. want is the place of a field that was
// asked for; inner is the level of a struct.
func (r *Reader) value(b []byte, t Type, want int, inner level) (bool, error) {
	rest := b[r.pos:]
	room := r.limits.Size - r.pos
	switch t {
	case Struct:
		inner.kind = Struct
		return true, r.open(inner)
	case String:
		size, n, err := r.length(rest)
		if n == 0 || err != nil {
			return false, err
		}
		r.pos += n
		r.skip = size
		if want >= 0 {
			r.Fields[want] = Field{Found: true, Start: r.pos, End: r.pos, Type: String}
			if size > 0 {
				r.want = want
			}
		}
		return true, nil
	case List, Set, Map:
		return r.container(rest, t, room)
	}
	n := t.fixed()
	var bits uint64
	if r.Protocol == Compact && (t == I16 || t == I32 || t == I64) {
		v, m, err := varint(rest, 8*t.fixed())
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
	if want >= 0 {
		r.Fields[want] = Field{Found: true, Start: r.pos, End: r.pos + n, Type: t, Int: bits, Bool: t == Bool && bits&0xff == 1}
	}
	r.pos += n
	return true, nil
}

// container reads the header of a list, set or map.
func (r *Reader) container(rest []byte, t Type, room int) (bool, error) {
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
	least := int64(1) // no value takes less
	if t == Map {
		least = 2
	}
	if f := l.value.fixed(); f > 0 && r.Protocol != Compact && t != Map {
		least = int64(f)
	}
	if size*least > int64(room) {
		return false, ErrTooLarge
	}
	if size > 0 && (!l.value.known() || t == Map && !l.key.known()) {
		return false, malformed("a container of type %d", l.value)
	}
	l.left = int(size)
	if t == Map {
		l.left *= 2
	}
	r.pos += n
	return true, r.open(l)
}

// varint reads an unsigned varint of so many bits. n is 0 where there is not all of it yet. One that is
// longer than its bits need is malformed.
func varint(b []byte, bits int) (v uint64, n int, err error) {
	if len(b) > 0 && b[0] < 0x80 {
		return uint64(b[0]), 1, nil
	}
	most := (bits + 6) / 7
	for i := range b {
		if i >= most {
			return 0, 0, malformed("a varint of more than %d bytes", most)
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
	if len(b) >= most {
		return 0, 0, malformed("a varint of more than %d bytes", most)
	}
	return 0, 0, nil
}

// varintSize is varint for one whose value nobody wants.
func varintSize(b []byte, bits int) (int, error) {
	most := (bits + 6) / 7
	for i, c := range b[:min(len(b), most)] {
		if c < 0x80 {
			if i < most-1 || c>>(7-(7*most-bits)) == 0 {
				return i + 1, nil
			}
			break
		}
	}
	_, n, err := varint(b, bits) // which says what is wrong
	return n, err
}

func unzigzag(v uint64) int64 { return int64(v>>1) ^ -int64(v&1) }
