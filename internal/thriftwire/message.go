// Package thriftwire reads Thrift messages without knowing their IDL: the envelope, the end of the
// struct behind it, and a few fields that are asked for. It passes all else by. It does no I/O, builds
// no values and never recurses; what it reads costs time linear in the bytes and memory by the depth.
//
// Source: the Thrift project's "Thrift Binary protocol encoding", "Thrift Compact protocol encoding"
// and "Thrift Remote Procedure Call" specifications.
package thriftwire

import (
	"errors"
	"fmt"
)

// Protocol is how values are written.
type Protocol uint8

// The protocols.
const (
	Binary    Protocol = iota + 1 // strict: the message begins with its version
	OldBinary                     // without one
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

// The kinds.
const (
	Call Kind = iota + 1
	Reply
	Exception
	Oneway
)

// Limits bound what is read.
type Limits struct {
	Size  int // bytes of a message, 16 MiB where it is 0
	Depth int // nested structs and containers, 64 where it is 0
}

const (
	defaultSize, defaultDepth = 16 << 20, 64
	// MaxName bounds the name of a method, with that of its service.
	MaxName = 1024
	// MaxPath bounds the path of a field that is asked for, MaxFields their number.
	MaxPath, MaxFields = 8, 4
)

// Errors of messages. All are final: more bytes do not mend them.
var (
	ErrMalformed = errors.New("thrift: malformed")
	ErrTooLarge  = errors.New("thrift: larger than allowed")
	ErrTooDeep   = errors.New("thrift: nested deeper than allowed")
)

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// Path names a field by the ids of the structs around it, from the arguments' struct on: {1, 3} is
// field 3 of the struct in field 1. It does not lead into containers.
type Path []int16

// Field is where the value of a field that was asked for stands.
type Field struct {
	Found      bool
	Start, End int    // of the value in the message; of a string without its length
	Type       Type   // its type, in the terms of this package
	Bool       bool   // the value of a bool, which compact keeps in the header
	Int        uint64 // the value of an integer, sign-extended
}

// Message is what was read of a message.
type Message struct {
	Protocol Protocol
	Kind     Kind
	Name     []byte // of the method, perhaps "Service:method"; part of the buffer
	Seq      int32
	Body     int // where the struct begins
	Size     int // of the whole message
	// FirstFieldID is the id of the struct's first field, which tells a result from a declared exception;
	// -1 where it has none.
	FirstFieldID int32
	Fields       [MaxFields]Field

	seqAt, seqEnd int
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

// compactTypes are the compact protocol's numbers; 1 and 2 are both bools.
var compactTypes = [16]Type{1: Bool, 2: Bool, 3: Byte, 4: I16, 5: I32, 6: I64, 7: Double, 8: String, 9: List, 10: Set, 11: Map, 12: Struct, 13: UUID}

// fixed is the size of a type's value where it has one, in the binary protocol.
func (t Type) fixed() int {
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

func (t Type) known() bool {
	switch t {
	case Bool, Byte, Double, I16, I32, I64, String, Struct, Map, Set, List, UUID:
		return true
	}
	return false
}
