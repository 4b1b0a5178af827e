package configstore

import (
	"encoding/binary"
	"hash/crc32"

	"go.etcd.io/raft/v3"
	"google.golang.org/protobuf/proto"
)

// Kinds of log records.
const (
	recordEntry     byte = 1
	recordHardState byte = 2
)

// A log record consists of the length of its body (4 bytes), a checksum of all other bytes (4), its kind (1)
// and its body.
const (
	recordChecksumAt  = 4
	recordKindAt      = 8
	recordHeaderBytes = 9
)

// logRecord is a decoded record. Its body is a slice of the log.
type logRecord struct {
	kind byte
	body []byte
	end  int // offset of the next record
}

// decodeRecord decodes the record at an offset of the log; ok is false if there is no complete and valid
// record.
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

// appendRecord encodes a record and appends it to a log.
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

// appendReady appends records for the new entries and hard state of raft.
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
