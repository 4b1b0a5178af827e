package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"ringtrack.example/ringtrack/policy"
)

const (
	// maxEndpointTables is the number of endpoint tables that the protocol can address.
	maxEndpointTables = 16
	// maxReportValues is the largest number of values in a load report.
	maxReportValues = 4
	// readStepBytes is the size of the steps in which memory is allocated for bytes that have not arrived
	// yet.
	readStepBytes = 1 << 20
)

// Decoder reads batches from a stream. All instances share its endpoint tables, which they only read.
type Decoder struct {
	r      io.Reader
	buf    []byte
	tables [maxEndpointTables][]policy.Endpoint
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder { return &Decoder{r: r} }

// Next reads one batch and calls handle for each of its records in order, with the time of the batch. Where
// the input ends between two batches it returns io.EOF, not wrapped. Other errors name the invalid field.
func (d *Decoder) Next(handle func(now float64, rec *Record) error) error {
	count, err := d.readBatch()
	if err != nil {
		return err
	}
	now := getF64(d.buf)
	if math.IsNaN(now) || math.IsInf(now, 0) {
		return fmt.Errorf("batch header: clock: not a number")
	}
	records := d.buf[clockSize : clockSize+count*EventSize]
	tail := d.buf[clockSize+len(records):]
	var rec Record
	for i := range count {
		rec = Record{}
		if err := d.decode(records[i*EventSize:(i+1)*EventSize], tail, &rec); err != nil {
			return fmt.Errorf("record %d: %w", i, err)
		}
		if rec.Kind == endpointTable {
			continue
		}
		if err := handle(now, &rec); err != nil {
			return err
		}
	}
	return nil
}

// readBatch reads the header and body of a batch into d.buf and returns the number of its records.
func (d *Decoder) readBatch() (int, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(d.r, header[:]); err != nil {
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return 0, io.EOF
		}
		return 0, fmt.Errorf("batch header: truncated: %w", err)
	}
	count := binary.BigEndian.Uint32(header[:4])
	size := binary.BigEndian.Uint32(header[4:])
	if size < clockSize || size > maxFrameBytes {
		return 0, fmt.Errorf("batch header: length: %d is out of range", size)
	}
	if uint64(count)*EventSize > uint64(size)-clockSize {
		return 0, fmt.Errorf("batch header: number of records: %d do not fit into %d bytes", count, size)
	}
	return int(count), d.readBody(int(size))
}

// readBody reads size bytes into d.buf. It allocates in steps, so that a wrong length costs no more than
// about twice the memory of what has arrived.
func (d *Decoder) readBody(size int) error {
	d.buf = d.buf[:0]
	for len(d.buf) < size {
		n := min(readStepBytes, size-len(d.buf))
		start := len(d.buf)
		if cap(d.buf) < start+n {
			d.buf = append(d.buf, make([]byte, n)...)
		}
		d.buf = d.buf[:start+n]
		if _, err := io.ReadFull(d.r, d.buf[start:]); err != nil {
			return fmt.Errorf("batch: truncated at %d of %d bytes: %w", start, size, err)
		}
	}
	return nil
}

// tailSlice returns the part of the tail that a field refers to. The field has an offset in bytes and a
// length in units of unitBytes.
func tailSlice(field string, raw, tail []byte, unitBytes int) ([]byte, error) {
	offset := uint64(binary.BigEndian.Uint32(raw))
	length := uint64(binary.BigEndian.Uint32(raw[4:]))
	if offset+length*uint64(unitBytes) > uint64(len(tail)) {
		return nil, fmt.Errorf("%s: offset %d and length %d exceed the tail's %d bytes", field, offset, length, len(tail))
	}
	return tail[offset : offset+length*uint64(unitBytes)], nil
}

// decode decodes the raw bytes of a record into rec.
func (d *Decoder) decode(raw, tail []byte, rec *Record) (err error) {
	be := binary.BigEndian
	rec.Kind = Event
	rec.Instance = be.Uint32(raw[1:])
	ev := &rec.Event
	switch raw[0] {
	case codeBoot:
		rec.Kind = Boot
		rec.Seed = be.Uint64(raw[5:])
		rec.Settings, err = tailSlice("boot: settings", raw[13:], tail, 1)
	case codeKilled:
		rec.Kind = Killed
	case codePool:
		rec.Kind = endpointTable
		err = d.decodeTable(raw, tail)
	case codeTargets:
		err = d.decodeUpdate(raw, ev)
	case codeAsk:
		decodeRequest(raw, ev)
	case codeVerdict:
		err = decodeAttemptEnded(raw, ev)
	case codeFlowing:
		ev.Kind = policy.EventResponseStarted
		ev.Request = policy.RequestID(be.Uint32(raw[5:]))
		ev.Server = policy.Addr(raw[9:15])
		ev.LatencyMs = getF64(raw[15:])
		ev.Attempt = int(be.Uint16(raw[23:]))
	case codeDropped:
		ev.Kind = policy.EventClientDisconnected
		ev.Request = policy.RequestID(be.Uint32(raw[5:]))
	case codeHealth:
		ev.Kind = policy.EventHealthCheckEnded
		ev.Server = policy.Addr(raw[5:11])
		ev.Status = policy.Status(be.Uint16(raw[11:]))
		ev.LatencyMs = getF64(raw[13:])
		ev.Report, err = decodeReport("health: report", raw[21:])
	case codeFired:
		ev.Kind = policy.EventTimer
		ev.Token = be.Uint32(raw[5:])
	case codePeerData:
		ev.Kind = policy.EventPeerMessage
		_, err = tailSlice("peer_data: msg", raw[9:], tail, 1)
	default:
		return fmt.Errorf("code: unknown event %d", raw[0])
	}
	return err
}

func decodeRequest(raw []byte, ev *policy.Event) {
	be := binary.BigEndian
	ev.Kind = policy.EventRequest
	ev.Request = policy.RequestID(be.Uint32(raw[5:]))
	ev.Class = int(be.Uint16(raw[9:]))
	ev.Tenant = int(be.Uint32(raw[11:]))
	ev.Key = be.Uint64(raw[15:])
	ev.RemainingMs = getF64(raw[23:])
	ev.WorkHintMs = getF64(raw[31:])
	ev.HasWorkHint = raw[39]&1 != 0
	ev.Retry = raw[39]&2 != 0
}

func decodeAttemptEnded(raw []byte, ev *policy.Event) (err error) {
	be := binary.BigEndian
	ev.Kind = policy.EventAttemptEnded
	ev.Request = policy.RequestID(be.Uint32(raw[5:]))
	ev.Attempt = int(be.Uint16(raw[9:]))
	ev.Server = policy.Addr(raw[11:17])
	ev.Status = policy.Status(be.Uint16(raw[17:]))
	ev.LatencyMs = getF64(raw[19:])
	ev.Final = raw[27] != 0
	if ev.Report, err = decodeReport("verdict: report", raw[28:]); err != nil {
		return err
	}
	if ev.Status != policy.OK && (ev.Status < policy.Error || ev.Status > policy.NotStarted) {
		return fmt.Errorf("verdict: ending: unknown value %d", ev.Status)
	}
	return nil
}

// decodeUpdate decodes an update of the endpoint list, which refers to an endpoint table.
func (d *Decoder) decodeUpdate(raw []byte, ev *policy.Event) error {
	ev.Kind = policy.EventEndpointUpdate
	ev.Update = policy.UpdateKind(raw[5])
	if raw[5] > uint8(policy.UpdateFailed) {
		return fmt.Errorf("targets: mode: unknown value %d", raw[5])
	}
	if ev.Update == policy.UpdateFailed {
		return nil
	}
	table := binary.BigEndian.Uint32(raw[10:])
	if table >= maxEndpointTables {
		return fmt.Errorf("targets: table: %d is out of range", table)
	}
	ev.Endpoints = d.tables[table]
	return nil
}

// decodeTable decodes an endpoint table. A batch may replace a table: the events before that keep the earlier
// endpoints, so each table is a new slice.
func (d *Decoder) decodeTable(raw, tail []byte) error {
	be := binary.BigEndian
	table := be.Uint32(raw[1:])
	if table >= maxEndpointTables {
		return fmt.Errorf("pool: table: %d is out of range", table)
	}
	entries, err := tailSlice("pool: hosts", raw[5:], tail, endpointSize)
	if err != nil {
		return err
	}
	endpoints := make([]policy.Endpoint, 0, len(entries)/endpointSize)
	for ; len(entries) > 0; entries = entries[endpointSize:] {
		if entries[10] > uint8(policy.Removed) {
			return fmt.Errorf("pool: health: unknown value %d", entries[10])
		}
		endpoints = append(endpoints, policy.Endpoint{
			Zone:        int(be.Uint16(entries)),
			StartedMs:   getF64(entries[2:]),
			Health:      policy.Health(entries[10]),
			Server:      policy.Addr(entries[11:17]),
			Weight:      float64(math.Float32frombits(be.Uint32(entries[17:]))),
			Cell:        int(be.Uint16(entries[21:])),
			MachineType: int(entries[23]),
		})
	}
	d.tables[table] = endpoints
	return nil
}

func decodeReport(field string, raw []byte) ([]float32, error) {
	if raw[0] == 0 {
		return nil, nil
	}
	if raw[0] > maxReportValues {
		return nil, fmt.Errorf("%s: %d values, at most %d", field, raw[0], maxReportValues)
	}
	values := make([]float32, raw[0])
	for i := range values {
		values[i] = math.Float32frombits(binary.BigEndian.Uint32(raw[1+4*i:]))
	}
	return values, nil
}
