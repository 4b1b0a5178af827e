package wire

import (
	"encoding/binary"
	"io"

	"ringtrack.example/ringtrack/policy"
)

// Encoder builds the response frame to a batch.
type Encoder struct {
	count   uint32
	records []byte
	tail    []byte
}

// Reset starts a new frame.
func (e *Encoder) Reset() {
	e.count = 0
	e.records = e.records[:0]
	e.tail = e.tail[:0]
}

// addRecord appends an action record and returns its bytes, in which the caller sets the other fields.
func (e *Encoder) addRecord(code byte, instance uint32) []byte {
	start := len(e.records)
	e.records = append(e.records, make([]byte, ActionSize)...)
	e.count++
	raw := e.records[start:]
	raw[0] = code
	binary.BigEndian.PutUint32(raw[1:], instance)
	return raw
}

// addText appends an action record with a text, which goes into the tail of the frame.
func (e *Encoder) addText(code byte, instance uint32, text string) {
	raw := e.addRecord(code, instance)
	binary.BigEndian.PutUint32(raw[5:], uint32(len(e.tail)))
	binary.BigEndian.PutUint32(raw[9:], uint32(len(text)))
	e.tail = append(e.tail, text...)
}

// Crash appends a record which reports that an instance failed.
func (e *Encoder) Crash(instance uint32, text string) { e.addText(codeCrash, instance, text) }

// Add appends one action of an instance.
func (e *Encoder) Add(instance uint32, a *policy.Action) {
	be := binary.BigEndian
	switch a.Kind {
	case policy.ActionForward:
		raw := e.addRecord(codeCallOut, instance)
		be.PutUint32(raw[5:], uint32(a.Request))
		copy(raw[9:15], a.Server[:])
		putF64(raw[15:], a.DurationMs)
	case policy.ActionCancel:
		raw := e.addRecord(codeRetract, instance)
		be.PutUint32(raw[5:], uint32(a.Request))
		be.PutUint16(raw[9:], uint16(a.Attempt))
	case policy.ActionReject:
		raw := e.addRecord(codeNotNow, instance)
		be.PutUint32(raw[5:], uint32(a.Request))
		putF64(raw[9:], a.DurationMs)
	case policy.ActionFail:
		be.PutUint32(e.addRecord(codeFinishError, instance)[5:], uint32(a.Request))
	case policy.ActionHealthCheck:
		copy(e.addRecord(codeTouch, instance)[5:11], a.Server[:])
	case policy.ActionTimer:
		raw := e.addRecord(codeNotifyMe, instance)
		putF64(raw[5:], a.DurationMs)
		be.PutUint32(raw[13:], a.Token)
	case policy.ActionWatchEndpoints:
		e.addRecord(codeFollow, instance)[5] = 1
	case policy.ActionFetchEndpoints:
		e.addRecord(codeReadList, instance)
	case policy.ActionCloseIdle:
		copy(e.addRecord(codeHangUp, instance)[5:11], a.Server[:])
	case policy.ActionLog:
		e.addText(codeTrace, instance, a.Text)
	}
}

// WriteTo writes the frame to w.
func (e *Encoder) WriteTo(w io.Writer) (int64, error) {
	var header [headerSize]byte
	binary.BigEndian.PutUint32(header[:], e.count)
	binary.BigEndian.PutUint32(header[4:], uint32(len(e.records)+len(e.tail)))
	var total int64
	for _, part := range [][]byte{header[:], e.records, e.tail} {
		n, err := w.Write(part)
		total += int64(n)
		if err != nil {
			return total, err
		}
	}
	return total, nil
}
