package thriftwire

import (
	"encoding/binary"
)

// Types of application exceptions, with the numbers of the RPC specification.
const (
	Unknown               = 0
	UnknownMethod         = 1
	InvalidMessageType    = 2
	WrongMethodName       = 3
	BadSequenceID         = 4
	MissingResult         = 5
	InternalError         = 6
	ProtocolError         = 7
	InvalidTransform      = 8
	InvalidProtocol       = 9
	UnsupportedClientType = 10
)

// AppendWithSeq appends a copy of the message with another sequence id. m describes msg.
func (m *Message) AppendWithSeq(dst, msg []byte, seq int32) []byte {
	dst = m.AppendHeadWithSeq(dst, msg, seq)
	return append(dst, msg[m.seqEnd:m.Size]...)
}

// AppendHeadWithSeq appends the part of the message that ends with the sequence id, which it replaces.
// Rest returns what follows.
func (m *Message) AppendHeadWithSeq(dst, msg []byte, seq int32) []byte {
	dst = append(dst, msg[:m.seqStart]...)
	if m.Protocol == Compact {
		return binary.AppendUvarint(dst, uint64(uint32(seq)))
	}
	return binary.BigEndian.AppendUint32(dst, uint32(seq))
}

// Rest returns the part of the message that follows the sequence id.
func (m *Message) Rest(msg []byte) []byte { return msg[m.seqEnd:m.Size] }

// AppendHeader appends the header of a message.
func AppendHeader(dst []byte, p Protocol, kind Kind, name []byte, seq int32) []byte {
	switch p {
	case Compact:
		dst = append(dst, 0x82, 1|byte(kind)<<5)
		dst = binary.AppendUvarint(dst, uint64(uint32(seq)))
		dst = binary.AppendUvarint(dst, uint64(len(name)))
		return append(dst, name...)
	case OldBinary:
		dst = binary.BigEndian.AppendUint32(dst, uint32(len(name)))
		dst = append(dst, name...)
		dst = append(dst, byte(kind))
	default:
		dst = append(dst, 0x80, 1, 0, byte(kind))
		dst = binary.BigEndian.AppendUint32(dst, uint32(len(name)))
		dst = append(dst, name...)
	}
	return binary.BigEndian.AppendUint32(dst, uint32(seq))
}

// AppendException appends a reply that is a TApplicationException: field 1 is its message, field 2 its
// type.
func AppendException(dst []byte, p Protocol, name []byte, seq int32, code int32, text string) []byte {
	dst = AppendHeader(dst, p, Exception, name, seq)
	if p == Compact {
		dst = append(dst, 1<<4|8)
		dst = binary.AppendUvarint(dst, uint64(len(text)))
		dst = append(dst, text...)
		dst = append(dst, 1<<4|5)
		dst = binary.AppendUvarint(dst, uint64(uint32(code<<1)^uint32(code>>31)))
		return append(dst, 0)
	}
	dst = append(dst, byte(String), 0, 1)
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(text)))
	dst = append(dst, text...)
	dst = append(dst, byte(I32), 0, 2)
	dst = binary.BigEndian.AppendUint32(dst, uint32(code))
	return append(dst, 0)
}
