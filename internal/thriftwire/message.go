// Package thriftwire parses Thrift messages without their IDL. It reads the header, a few selected fields
// and the end of the struct that follows, and skips everything else. It does no I/O, decodes no other
// values and does not recurse. Parsing takes time linear in the size of the message, and memory in
// proportion to its nesting depth.
//
// The encodings are those of the Thrift project's "Thrift Binary protocol encoding", "Thrift Compact
// protocol encoding" and "Thrift Remote Procedure Call" specifications.
package thriftwire

import (
	"errors"
	"fmt"
)

// Protocol is the encoding of a message and its values.
type Protocol uint8

// The protocols.
const (
	Binary    Protocol = iota + 1 // strict: the message begins with a version
	OldBinary                     // the binary protocol without a version
	Compact
)

func (p Protocol) String() string {
	switch p {
	case Binary:
		return "binary"
	case OldBinary:
		return "old binary"
	case Compact:
		return "compact"
	}
	return "unknown protocol"
}

// Kind is the type of a message.
type Kind uint8

// The kinds, with the numbers that all protocols use.
const (
	Call Kind = iota + 1
	Reply
	Exception
	Oneway
)

// Limits bound the messages that are accepted.
type Limits struct {
	Size  int // bytes of a message; 0: 16 MiB
	Depth int // nested structs and containers; 0: 64
}

const (
	defaultSize, defaultDepth = 16 << 20, 64
	// MaxName bounds the name of a method in bytes, including that of its service.
	MaxName = 1024
	// MaxPath bounds the length of the path of a selected field, MaxFields the number of such fields.
	MaxPath, MaxFields = 8, 4
)

// Errors of messages. All are final: a message does not become valid by further bytes.
var (
	ErrMalformed = errors.New("thrift: malformed")
	ErrTooLarge  = errors.New("thrift: larger than allowed")
	ErrTooDeep   = errors.New("thrift: nested deeper than allowed")
)

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// Path selects a field by field ids, starting at the outermost struct: {1, 3} is field 3 of the struct in
// field 1. A path does not lead into containers.
type Path []int16

// Field is the position and value of a selected field.
type Field struct {
	Found      bool
	Start, End int    // of the value in the message; a string's length prefix is not included
	Type       Type   // the same in all protocols
	Bool       bool   // the value of a bool; the compact protocol encodes it in the field's header
	Int        uint64 // the value of an integer, sign-extended
}

// Message describes a message.
type Message struct {
	Protocol Protocol
	Kind     Kind
	Name     []byte // of the method, or "Service:method"; a slice of the buffer
	Seq      int32
	Body     int // offset of the struct that follows the header
	Size     int // of the complete message
	// FirstFieldID is the id of the struct's first field, -1 if the struct is empty. In a reply it
	// distinguishes a result from a declared exception.
	FirstFieldID int32
	Fields       [MaxFields]Field

	seqStart, seqEnd int
}

// Type is the type of a value.
type Type uint8

// The types, as the binary protocol numbers them.
const (
	Stop   Type = 0
	Bool   Type = 2
	Byte   Type = 3
	Double Type = 4
	I16    Type = 6
	I32    Type = 8
	I64    Type = 10
	String Type = 11
	Struct Type = 12
	Map    Type = 13
	Set    Type = 14
	List   Type = 15
	UUID   Type = 16
)

// compactTypes maps the type numbers of the compact protocol; 1 and 2 are the bools true and false.
var compactTypes = [16]Type{1: Bool, 2: Bool, 3: Byte, 4: I16, 5: I32, 6: I64, 7: Double, 8: String, 9: List, 10: Set, 11: Map, 12: Struct, 13: UUID}

// fixedSize returns the size of a value of the type in the binary protocol; 0: it varies.
func (t Type) fixedSize() int {
	switch t {
	case Bool, Byte:
		return 1
	case I16:
		return 2
	case I32:
		return 4
	case I64, Double:
		return 8
	case UUID:
		return 16
	}
	return 0
}

func (t Type) isKnown() bool {
	switch t {
	case Bool, Byte, Double, I16, I32, I64, String, Struct, Map, Set, List, UUID:
		return true
	}
	return false
}
