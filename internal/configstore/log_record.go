package configstore

import (
	"encoding/binary"
	"hash/crc32"

	"go.etcd.io/raft/v3"
	"google.golang.org/protobuf/proto"
)

// The kinds of log records.
const (
	recordEntry     byte = 1
	recordHardState byte = 2
)

// A record of the log is the length of its body (4 bytes), a checksum of all else (4), its kind (1) and its body.
const (
	recordChecksumAt  = 4
	recordKindAt      = 8
	recordHeaderBytes = 9
)

// logRecord is a decoded record. Its body is part of the log's text.
type logRecord struct {
	kind byte
	body []byte
	end  int // where the next record begins
}

// decodeRecord decodes the record that begins at a byte of the log; ok is false if there is no complete valid one.
func decodeRecord(log []byte, at int) (r logRecord, ok bool) {
	bodyAt := at + recordHeaderBytes
	if bodyAt > len(log) {
		return logRecord{}, false
	}
	size := int(binary.BigEndian.Uint32(log[at:]))
	if size > maxLogBytes || bodyAt+size > len(log) {
		return logRecord{}, false
	}
	r = logRecord{kind: log[at+recordKindAt], body: log[bodyAt : bodyAt+size], end: bodyAt + size}
	checksum := binary.BigEndian.Uint32(log[at+recordChecksumAt:])
	return r, checksum == recordChecksum(log[at:r.end])
}

func recordChecksum(record []byte) uint32 {
	length := crc32.Checksum(record[:recordChecksumAt], crcTable)
	return crc32.Update(length, crcTable, record[recordKindAt:])
}

// appendRecord appends a record to a log.
func appendRecord(log []byte, kind byte, m proto.Message) ([]byte, error) {
	body, err := proto.Marshal(m)
	if err != nil {
		return nil, err
	}
	at := len(log)
	log = binary.BigEndian.AppendUint32(log, uint32(len(body)))
	log = append(log, 0, 0, 0, 0, kind)
	log = append(log, body...)
	binary.BigEndian.PutUint32(log[at+recordChecksumAt:], recordChecksum(log[at:]))
	return log, nil
}

// appendReady appends the records of what is new in raft.
func appendReady(log []byte, ready *raft.Ready) (_ []byte, err error) {
	for _, entry := range ready.Entries {
		if log, err = appendRecord(log, recordEntry, entry); err != nil {
			return nil, err
		}
	}
	if raft.IsEmptyHardState(ready.HardState) {
		return log, nil
	}
	return appendRecord(log, recordHardState, ready.HardState)
}
