// Package wire translates between the simulator's binary frames and the
// policy's events and actions. It decides nothing.
package wire

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"

	"ringtrack.example/ringtrack/policy"
)

// Record sizes of the wire.
const (
	EventSize  = 48
	ActionSize = 24
	entrySize  = 24
	maxFrame   = 1 << 30 // no legal batch comes near it
)

// Event codes.
const (
	codeDropped  = 16
	codeAsk      = 17
	codeVerdict  = 18
	codePool     = 19
	codeFlowing  = 20
	codeKilled   = 21
	codeTargets  = 22
	codePeerData = 23
	codeHealth   = 24
	codeBoot     = 25
	codeFired    = 26
)

// Action codes.
const (
	codeHangUp      = 80
	codeNotNow      = 81
	codeTouch       = 82
	codeFollow      = 83
	codeCallOut     = 84
	codeReadList    = 85
	codeCrash       = 87
	codeNotifyMe    = 88
	codeRetract     = 89
	codeFinishError = 90
	codeTrace       = 91
)

// Kind tells what a record of a batch is about.
type Kind uint8

// The kinds of records.
const (
	Boot   Kind = iota + 1 // Instance, Seed, Settings
	Killed                 // Instance
	Event                  // Instance, Event
)

// Record is one event record of a batch, list tables already resolved.
type Record struct {
	Kind     Kind
	Instance uint32
	Seed     uint64
	Settings []byte
	Event    policy.Event
}

// Decoder reads batches from a stream. It keeps the numbered lists, which
// belong to the process and are shared, read-only, by all instances.
type Decoder struct {
	r     io.Reader
	buf   []byte
	pools [16][]policy.Endpoint
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder { return &Decoder{r: r} }

// Next reads one batch and calls fn for each record in order, after the clock
// is known. It returns io.EOF at a clean end of input.
func (d *Decoder) Next(fn func(now float64, rec *Record) error) error {
	var head [8]byte
	if _, err := io.ReadFull(d.r, head[:]); err != nil {
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return io.EOF
		}
		return fmt.Errorf("batch header: truncated: %w", err)
	}
	count, size := binary.BigEndian.Uint32(head[:4]), binary.BigEndian.Uint32(head[4:])
	if size < 8 || size > maxFrame {
		return fmt.Errorf("batch header: length: %d is out of range", size)
	}
	if uint64(count)*EventSize > uint64(size)-8 {
		return fmt.Errorf("batch header: number of records: %d do not fit into %d bytes", count, size)
	}
	if err := d.fill(int(size)); err != nil {
		return err
	}
	now := getF64(d.buf)
	if math.IsNaN(now) || math.IsInf(now, 0) {
		return fmt.Errorf("batch header: clock: not a number")
	}
	records := d.buf[8 : 8+int(count)*EventSize]
	tail := d.buf[8+len(records):]
	var rec Record
	for i := 0; i < int(count); i++ {
		raw := records[i*EventSize : (i+1)*EventSize]
		rec = Record{}
		if err := d.decode(raw, tail, &rec); err != nil {
			return fmt.Errorf("record %d: %w", i, err)
		}
		if rec.Kind == 0 {
			continue // a pool: kept, nothing to hand on
		}
		if err := fn(now, &rec); err != nil {
			return err
		}
	}
	return nil
}

// fill reads size bytes in steps, so that a false length allocates no more
// than about twice what really arrives.
func (d *Decoder) fill(size int) error {
	const step = 1 << 20
	d.buf = d.buf[:0]
	for len(d.buf) < size {
		n := min(step, size-len(d.buf))
		at := len(d.buf)
		if cap(d.buf) < at+n {
			d.buf = append(d.buf, make([]byte, n)...)
		}
		d.buf = d.buf[:at+n]
		if _, err := io.ReadFull(d.r, d.buf[at:]); err != nil {
			return fmt.Errorf("batch: truncated at %d of %d bytes: %w", at, size, err)
		}
	}
	return nil
}

// span resolves an (offset, length) field, the length in units of the given size.
func span(field string, raw, tail []byte, unit int) ([]byte, error) {
	off, n := uint64(binary.BigEndian.Uint32(raw)), uint64(binary.BigEndian.Uint32(raw[4:]))
	if off+n*uint64(unit) > uint64(len(tail)) {
		return nil, fmt.Errorf("%s: offset %d and length %d pass the tail's %d bytes", field, off, n, len(tail))
	}
	return tail[off : off+n*uint64(unit)], nil
}

func (d *Decoder) decode(raw, tail []byte, rec *Record) (err error) {
	be := binary.BigEndian
	rec.Kind = Event
	rec.Instance = be.Uint32(raw[1:])
	ev := &rec.Event
	switch raw[0] {
	case codeBoot:
		rec.Kind, rec.Seed = Boot, be.Uint64(raw[5:])
		rec.Settings, err = span("boot: settings", raw[13:], tail, 1)
		return err
	case codeKilled:
		rec.Kind = Killed
	case codePool:
		rec.Kind = 0
		return d.pool(raw, tail)
	case codeTargets:
		ev.Kind, ev.Update = policy.EventEndpointUpdate, policy.UpdateKind(raw[5])
		if raw[5] > uint8(policy.UpdateFailed) {
			return fmt.Errorf("targets: mode: unknown value %d", raw[5])
		}
		if ev.Update != policy.UpdateFailed {
			table := be.Uint32(raw[10:])
			if int64(table) >= int64(len(d.pools)) {
				return fmt.Errorf("targets: table: %d is out of range", table)
			}
			ev.Endpoints = d.pools[table]
		}
	case codeAsk:
		ev.Kind, ev.Request = policy.EventRequest, policy.RequestID(be.Uint32(raw[5:]))
		ev.Class, ev.Tenant = int(be.Uint16(raw[9:])), int(be.Uint32(raw[11:]))
		ev.Key, ev.RemainingMs, ev.WorkHintMs = be.Uint64(raw[15:]), getF64(raw[23:]), getF64(raw[31:])
		ev.HasWorkHint, ev.Retry = raw[39]&1 != 0, raw[39]&2 != 0
	case codeVerdict:
		ev.Kind, ev.Request = policy.EventAttemptEnded, policy.RequestID(be.Uint32(raw[5:]))
		ev.Attempt, ev.Server = int(be.Uint16(raw[9:])), policy.Addr(raw[11:17])
		ev.Status, ev.LatencyMs = policy.Status(be.Uint16(raw[17:])), getF64(raw[19:])
		ev.Final = raw[27] != 0
		ev.Report, err = report("verdict: report", raw[28:])
		if err == nil && (ev.Status != policy.OK && (ev.Status < policy.Error || ev.Status > policy.NotStarted)) {
			err = fmt.Errorf("verdict: ending: unknown value %d", ev.Status)
		}
	case codeFlowing:
		ev.Kind, ev.Request = policy.EventResponseStarted, policy.RequestID(be.Uint32(raw[5:]))
		ev.Server, ev.LatencyMs, ev.Attempt = policy.Addr(raw[9:15]), getF64(raw[15:]), int(be.Uint16(raw[23:]))
	case codeDropped:
		ev.Kind, ev.Request = policy.EventClientDisconnected, policy.RequestID(be.Uint32(raw[5:]))
	case codeHealth:
		ev.Kind, ev.Server = policy.EventHealthCheckEnded, policy.Addr(raw[5:11])
		ev.Status, ev.LatencyMs = policy.Status(be.Uint16(raw[11:])), getF64(raw[13:])
		ev.Report, err = report("health: report", raw[21:])
	case codeFired:
		ev.Kind, ev.Token = policy.EventTimer, be.Uint32(raw[5:])
	case codePeerData:
		ev.Kind = policy.EventPeerMessage
		_, err = span("peer_data: msg", raw[9:], tail, 1)
	default:
		return fmt.Errorf("code: unknown event %d", raw[0])
	}
	return err
}

func (d *Decoder) pool(raw, tail []byte) error {
	be := binary.BigEndian
	table := be.Uint32(raw[1:])
	if int64(table) >= int64(len(d.pools)) {
		return fmt.Errorf("pool: table: %d is out of range", table)
	}
	lines, err := span("pool: hosts", raw[5:], tail, entrySize)
	if err != nil {
		return err
	}
	entries := make([]policy.Endpoint, 0, len(lines)/entrySize)
	for ; len(lines) > 0; lines = lines[entrySize:] {
		if lines[10] > uint8(policy.Removed) {
			return fmt.Errorf("pool: health: unknown value %d", lines[10])
		}
		entries = append(entries, policy.Endpoint{
			Zone:        int(be.Uint16(lines)),
			StartedMs:   getF64(lines[2:]),
			Health:      policy.Health(lines[10]),
			Server:      policy.Addr(lines[11:17]),
			Weight:      float64(math.Float32frombits(be.Uint32(lines[17:]))),
			Cell:        int(be.Uint16(lines[21:])),
			MachineType: int(lines[23]),
		})
	}
	d.pools[table] = entries // a fresh slice: events of the old list keep theirs
	return nil
}

func report(field string, raw []byte) ([]float32, error) {
	if raw[0] == 0 {
		return nil, nil
	}
	if raw[0] > 4 {
		return nil, fmt.Errorf("%s: %d values, at most 4", field, raw[0])
	}
	values := make([]float32, raw[0])
	for i := range values {
		values[i] = math.Float32frombits(binary.BigEndian.Uint32(raw[1+4*i:]))
	}
	return values, nil
}

// ParseSettings reads the JSON text of a boot record. Unknown keys are skipped.
func ParseSettings(text []byte) (policy.Settings, error) {
	var s policy.Settings
	if err := json.Unmarshal(text, &s); err != nil {
		var bad *json.UnmarshalTypeError
		if errors.As(err, &bad) {
			return s, fmt.Errorf("settings: %s: cannot be a %s", bad.Field, bad.Value)
		}
		return s, fmt.Errorf("settings: no JSON: %w", err)
	}
	return s, nil
}

// Encoder builds one reply frame.
type Encoder struct {
	count   uint32
	records []byte
	tail    []byte
}

// Reset forgets the reply built so far.
func (e *Encoder) Reset() { e.count, e.records, e.tail = 0, e.records[:0], e.tail[:0] }

func (e *Encoder) record(code byte, instance uint32) []byte {
	at := len(e.records)
	e.records = append(e.records, make([]byte, ActionSize)...)
	e.count++
	raw := e.records[at:]
	raw[0] = code
	binary.BigEndian.PutUint32(raw[1:], instance)
	return raw
}

func (e *Encoder) text(code byte, instance uint32, text string) {
	raw := e.record(code, instance)
	binary.BigEndian.PutUint32(raw[5:], uint32(len(e.tail)))
	binary.BigEndian.PutUint32(raw[9:], uint32(len(text)))
	e.tail = append(e.tail, text...)
}

// Crash adds the statement that an instance's decision code failed.
func (e *Encoder) Crash(instance uint32, text string) { e.text(codeCrash, instance, text) }

// Add appends one action of an instance.
func (e *Encoder) Add(instance uint32, a *policy.Action) {
	be := binary.BigEndian
	switch a.Kind {
	case policy.ActionForward:
		raw := e.record(codeCallOut, instance)
		be.PutUint32(raw[5:], uint32(a.Request))
		copy(raw[9:15], a.Server[:])
		putF64(raw[15:], a.DurationMs)
	case policy.ActionCancel:
		raw := e.record(codeRetract, instance)
		be.PutUint32(raw[5:], uint32(a.Request))
		be.PutUint16(raw[9:], uint16(a.Attempt))
	case policy.ActionReject:
		raw := e.record(codeNotNow, instance)
		be.PutUint32(raw[5:], uint32(a.Request))
		putF64(raw[9:], a.DurationMs)
	case policy.ActionFail:
		be.PutUint32(e.record(codeFinishError, instance)[5:], uint32(a.Request))
	case policy.ActionHealthCheck:
		copy(e.record(codeTouch, instance)[5:11], a.Server[:])
	case policy.ActionTimer:
		raw := e.record(codeNotifyMe, instance)
		putF64(raw[5:], a.DurationMs)
		be.PutUint32(raw[13:], a.Token)
	case policy.ActionWatchEndpoints:
		e.record(codeFollow, instance)[5] = 1
	case policy.ActionFetchEndpoints:
		e.record(codeReadList, instance)
	case policy.ActionCloseIdle:
		copy(e.record(codeHangUp, instance)[5:11], a.Server[:])
	case policy.ActionLog:
		e.text(codeTrace, instance, a.Text)
	}
}

// WriteTo writes the reply frame.
func (e *Encoder) WriteTo(w io.Writer) (int64, error) {
	var head [8]byte
	binary.BigEndian.PutUint32(head[:], e.count)
	binary.BigEndian.PutUint32(head[4:], uint32(len(e.records)+len(e.tail)))
	var total int64
	for _, part := range [][]byte{head[:], e.records, e.tail} {
		n, err := w.Write(part)
		total += int64(n)
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

func getF64(raw []byte) float64 { return math.Float64frombits(binary.BigEndian.Uint64(raw)) }

func putF64(raw []byte, v float64) { binary.BigEndian.PutUint64(raw, math.Float64bits(v)) }
