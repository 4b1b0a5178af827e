package main

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"
)

const settings = `{"classes":[{"name":"a","aimMs":100,"giveUpMs":500,"effect":"free","credit":1}],
"limits":{"maxAttempts":2},"membershipMode":"pushed","roundMs":5}`

// batch encodes a batch of records of 48 bytes, of which the first bytes are given, followed by tail.
func batch(clock float64, tail string, records ...[]byte) []byte {
	be := binary.BigEndian
	out := be.AppendUint32(nil, uint32(len(records)))
	out = be.AppendUint32(out, uint32(8+48*len(records)+len(tail)))
	out = be.AppendUint64(out, math.Float64bits(clock))
	for _, r := range records {
		out = append(out, append(r, make([]byte, 48-len(r))...)...)
	}
	return append(out, tail...)
}

func bootRecord(instance uint32, textLen int) []byte {
	be := binary.BigEndian
	r := be.AppendUint32([]byte{25}, instance)
	r = be.AppendUint64(r, 7)
	r = be.AppendUint32(r, 0)
	return be.AppendUint32(r, uint32(textLen))
}

func requestRecord(instance, id uint32) []byte {
	be := binary.BigEndian
	r := be.AppendUint32([]byte{17}, instance)
	r = be.AppendUint32(r, id)
	r = append(r, make([]byte, 14)...)
	return be.AppendUint64(r, math.Float64bits(400))
}

func killedRecord(instance uint32) []byte { return binary.BigEndian.AppendUint32([]byte{21}, instance) }

func TestInstanceIsKilledAndBootedInOneBatch(t *testing.T) {
	in := batch(1000, settings, bootRecord(3, len(settings)), requestRecord(3, 9))
	in = append(in, batch(1005, settings, killedRecord(3), requestRecord(3, 10), bootRecord(3, len(settings)), requestRecord(3, 11))...)
	var out bytes.Buffer
	if err := run(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	// Each incarnation queues its one request, as it has no endpoint list, and sets one timer; the request
	// between the two is ignored.
	reply := out.Bytes()
	for i, want := range []uint32{1, 1} {
		n, size := binary.BigEndian.Uint32(reply), binary.BigEndian.Uint32(reply[4:])
		if n != want || reply[8] != 88 {
			t.Errorf("batch %d: %d actions, first of code %d; want %d timer", i, n, reply[8], want)
		}
		reply = reply[8+size:]
	}
}

func TestInvalidSettingsAreReportedAsCrash(t *testing.T) {
	invalid := strings.Replace(settings, "free", "maybe", 1)
	var out bytes.Buffer
	if err := run(bytes.NewReader(batch(1000, invalid, bootRecord(3, len(invalid)))), &out); err != nil {
		t.Fatal(err)
	}
	if reply := out.Bytes(); reply[8] != 87 || !strings.Contains(string(reply), "classes[0].effect") {
		t.Errorf("reply %q is not a crash that names the key", reply)
	}
}

func TestTruncatedInputIsAnError(t *testing.T) {
	in := batch(1000, "", killedRecord(1))
	var out bytes.Buffer
	if err := run(bytes.NewReader(in[:len(in)-1]), &out); err == nil || strings.Contains(err.Error(), "\n") {
		t.Errorf("error %v, want one line", err)
	}
	if err := run(bytes.NewReader(nil), &out); err != nil {
		t.Errorf("end of input between batches: %v", err)
	}
}
