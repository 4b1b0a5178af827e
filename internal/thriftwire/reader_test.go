package thriftwire

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/apache/thrift/lib/go/thrift"
)

// protocols are those of the Apache library, which is the reference implementation of these tests.
func protocols() map[Protocol]thrift.TProtocolFactory {
	return map[Protocol]thrift.TProtocolFactory{
		Binary:    thrift.NewTBinaryProtocolFactoryConf(&thrift.TConfiguration{TBinaryStrictWrite: thrift.BoolPtr(true)}),
		OldBinary: thrift.NewTBinaryProtocolFactoryConf(&thrift.TConfiguration{TBinaryStrictWrite: thrift.BoolPtr(false), TBinaryStrictRead: thrift.BoolPtr(false)}),
		Compact:   thrift.NewTCompactProtocolFactoryConf(&thrift.TConfiguration{}),
	}
}

// randomWriter writes random values with the library.
type randomWriter struct {
	p   thrift.TProtocol
	rng *rand.Rand
}

var ctx = context.Background()

func (w *randomWriter) value(t thrift.TType, depth int) {
	switch t {
	case thrift.BOOL:
		w.p.WriteBool(ctx, w.rng.IntN(2) == 0)
	case thrift.BYTE:
		w.p.WriteByte(ctx, int8(w.rng.Int()))
	case thrift.I16:
		w.p.WriteI16(ctx, []int16{0, -1, math.MinInt16, math.MaxInt16, int16(w.rng.Int())}[w.rng.IntN(5)])
	case thrift.I32:
		w.p.WriteI32(ctx, []int32{0, -1, math.MinInt32, math.MaxInt32, int32(w.rng.Int())}[w.rng.IntN(5)])
	case thrift.I64:
		w.p.WriteI64(ctx, []int64{0, -1, math.MinInt64, math.MaxInt64, w.rng.Int64()}[w.rng.IntN(5)])
	case thrift.DOUBLE:
		w.p.WriteDouble(ctx, w.rng.Float64())
	case thrift.STRING:
		w.p.WriteString(ctx, strings.Repeat("s", w.rng.IntN(200)))
	case thrift.UUID:
		w.p.WriteUUID(ctx, thrift.Tuuid{byte(w.rng.Int())})
	case thrift.STRUCT:
		w.fields(w.rng.IntN(5), depth+1)
	case thrift.LIST, thrift.SET:
		e, n := w.randomType(depth), w.rng.IntN(20)
		if t == thrift.LIST {
			w.p.WriteListBegin(ctx, e, n)
		} else {
			w.p.WriteSetBegin(ctx, e, n)
		}
		for range n {
			w.value(e, depth+1)
		}
	case thrift.MAP:
		k, v, n := w.randomType(depth), w.randomType(depth), w.rng.IntN(20)
		w.p.WriteMapBegin(ctx, k, v, n)
		for range n {
			w.value(k, depth+1)
			w.value(v, depth+1)
		}
	}
}

func (w *randomWriter) randomType(depth int) thrift.TType {
	all := []thrift.TType{thrift.BOOL, thrift.BYTE, thrift.I16, thrift.I32, thrift.I64, thrift.DOUBLE, thrift.STRING, thrift.UUID,
		thrift.STRUCT, thrift.LIST, thrift.SET, thrift.MAP}
	if depth > 3 {
		all = all[:8]
	}
	return all[w.rng.IntN(len(all))]
}

func (w *randomWriter) fields(n, depth int) {
	w.p.WriteStructBegin(ctx, "")
	for range n {
		t := w.randomType(depth)
		// Ids need not ascend.
		w.p.WriteFieldBegin(ctx, "", t, []int16{1, 2, 3, 16, 500, -3, int16(w.rng.Int())}[w.rng.IntN(7)])
		w.value(t, depth)
		w.p.WriteFieldEnd(ctx)
	}
	w.p.WriteFieldStop(ctx)
	w.p.WriteStructEnd(ctx)
}

// encodeMessage encodes a message with n random fields after field 1, which is a struct with field 2, a bool,
// field 3, a string, and field 4, an integer.
func encodeMessage(f thrift.TProtocolFactory, seed uint64, kind thrift.TMessageType, seq int32, key string, num int64, n int) []byte {
	buf := thrift.NewTMemoryBuffer()
	p := f.GetProtocol(buf)
	w := &randomWriter{p, rand.New(rand.NewPCG(seed, 3))}
	p.WriteMessageBegin(ctx, "Orders:place", kind, seq)
	p.WriteStructBegin(ctx, "")
	p.WriteFieldBegin(ctx, "", thrift.STRUCT, 1)
	p.WriteStructBegin(ctx, "")
	p.WriteFieldBegin(ctx, "", thrift.BOOL, 2)
	p.WriteBool(ctx, true)
	p.WriteFieldBegin(ctx, "", thrift.STRING, 3)
	p.WriteString(ctx, key)
	p.WriteFieldBegin(ctx, "", thrift.I64, 4)
	p.WriteI64(ctx, num)
	p.WriteFieldStop(ctx)
	p.WriteStructEnd(ctx)
	for range n {
		t := w.randomType(0)
		p.WriteFieldBegin(ctx, "", t, int16(2+w.rng.IntN(1000)))
		w.value(t, 0)
	}
	p.WriteFieldStop(ctx)
	p.WriteStructEnd(ctx)
	p.WriteMessageEnd(ctx)
	p.Flush(ctx)
	return bytes.Clone(buf.Bytes())
}

var testPaths = []Path{{1, 3}, {1, 4}, {1, 2}, {7, 7}}

// Messages of the Apache library are read to their end, with the selected fields, in one piece that more
// bytes follow as well as byte by byte. With another sequence id they equal what the library writes.
func TestReaderAgainstTheLibrary(t *testing.T) {
	for proto, f := range protocols() {
		t.Run(proto.String(), func(t *testing.T) {
			for seed := range uint64(300) {
				seq := []int32{0, 1, -1, 127, 128, math.MaxInt32, math.MinInt32, int32(seed)}[seed%8]
				num := []int64{0, -1, math.MaxInt64, math.MinInt64, int64(seed)}[seed%5]
				key := strings.Repeat("k", int(seed%300))
				kind := []thrift.TMessageType{thrift.CALL, thrift.REPLY, thrift.EXCEPTION, thrift.ONEWAY}[seed%4]
				msg := encodeMessage(f, seed, kind, seq, key, num, int(seed%12))
				r := NewReader(Limits{}, testPaths...)
				ok, err := r.Read(append(bytes.Clone(msg), "bytes after the message"...))
				if !ok || err != nil || r.Size != len(msg) {
					t.Fatalf("seed %d: complete %v, error %v, size %d of %d bytes", seed, ok, err, r.Size, len(msg))
				}
				if r.Protocol != proto || r.Kind != Kind(kind) || string(r.Name) != "Orders:place" || r.Seq != seq || r.FirstFieldID != 1 {
					t.Fatalf("seed %d: message %+v", seed, r.Message)
				}
				k, n, b := r.Fields[0], r.Fields[1], r.Fields[2]
				if !k.Found || string(msg[k.Start:k.End]) != key || !n.Found || int64(n.Int) != num || !b.Found || !b.Bool || r.Fields[3].Found {
					t.Fatalf("seed %d: fields %+v", seed, r.Fields)
				}
				slow := NewReader(Limits{}, testPaths...)
				for i := range msg {
					ok, err := slow.Read(msg[:i+1])
					if err != nil || ok != (i == len(msg)-1) {
						t.Fatalf("seed %d: at byte %d of %d: complete %v, error %v", seed, i, len(msg), ok, err)
					}
				}
				if fmt.Sprintf("%+v", slow.Message) != fmt.Sprintf("%+v", r.Message) {
					t.Fatalf("seed %d: byte by byte %+v, at once %+v", seed, slow.Message, r.Message)
				}
				other := r.AppendWithSeq(nil, msg, 77)
				if want := encodeMessage(f, seed, kind, 77, key, num, int(seed%12)); !bytes.Equal(other, want) {
					t.Fatalf("seed %d: with another sequence id %x, want %x", seed, other, want)
				}
			}
		})
	}
}

// The Apache library and the reader can read exceptions of AppendException.
func TestExceptionAgainstTheLibrary(t *testing.T) {
	for proto, f := range protocols() {
		msg := AppendException(nil, proto, []byte("place"), -5, UnknownMethod, "no such thing")
		buf := thrift.NewTMemoryBuffer()
		buf.Write(msg)
		p := f.GetProtocol(buf)
		name, kind, seq, err := p.ReadMessageBegin(ctx)
		x := thrift.NewTApplicationException(0, "")
		if err == nil {
			err = x.Read(ctx, p)
		}
		if err != nil || name != "place" || kind != thrift.EXCEPTION || seq != -5 || x.TypeId() != UnknownMethod || x.Error() != "no such thing" || buf.Len() != 0 {
			t.Errorf("%v: error %v, name %q, kind %v, sequence id %d, exception %v", proto, err, name, kind, seq, x)
		}
		r := NewReader(Limits{}, Path{2})
		if ok, err := r.Read(msg); !ok || err != nil || int32(r.Fields[0].Int) != UnknownMethod {
			t.Errorf("%v: complete %v, error %v, message %+v", proto, ok, err, r.Message)
		}
	}
}

// nested encodes a message with structs nested this deep.
func nested(p Protocol, depth int) []byte {
	b := AppendHeader(nil, p, Call, []byte("m"), 1)
	for range depth {
		if p == Compact {
			b = append(b, 1<<4|12)
		} else {
			b = append(b, byte(Struct), 0, 1)
		}
	}
	return append(b, make([]byte, depth+1)...)
}

// A malformed or oversized message is an error as soon as the offending bytes have arrived, in one piece as
// well as byte by byte.
func TestMalformedMessages(t *testing.T) {
	field := func(p Protocol, t Type, compact byte, rest ...byte) []byte {
		b := AppendHeader(nil, p, Call, []byte("m"), 1)
		if p == Compact {
			return append(append(b, 1<<4|compact), rest...)
		}
		return append(append(b, byte(t), 0, 1), rest...)
	}
	elevenBytes := bytes.Repeat([]byte{0xff}, 11)
	for name, c := range map[string]struct {
		msg  []byte
		want error
	}{
		"binary, version 2":                  {[]byte{0x80, 2, 0, 1, 0, 0, 0, 0}, ErrMalformed},
		"binary, message type 9":             {[]byte{0x80, 1, 0, 9, 0, 0, 0, 0}, ErrMalformed},
		"binary, a name of 2 GB":             {[]byte{0x80, 1, 0, 1, 0x7f, 0xff, 0xff, 0xff}, ErrMalformed},
		"binary, a negative name":            {[]byte{0x80, 1, 0, 1, 0xff, 0xff, 0xff, 0xff}, ErrMalformed},
		"old binary, message type 0":         {append([]byte{0, 0, 0, 1, 'm', 0}, 0, 0, 0, 1), ErrMalformed},
		"compact, version 2":                 {[]byte{0x82, 0x22, 1, 0}, ErrMalformed},
		"compact, message type 7":            {[]byte{0x82, 0xe1, 1, 0}, ErrMalformed},
		"compact, a sequence id of 11 bytes": {append([]byte{0x82, 0x21}, elevenBytes...), ErrMalformed},
		"compact, a sequence id over 32":     {[]byte{0x82, 0x21, 0xff, 0xff, 0xff, 0xff, 0x1f, 0}, ErrMalformed},
		"compact, a name of 2 GB":            {[]byte{0x82, 0x21, 1, 0xff, 0xff, 0xff, 0xff, 0x07}, ErrMalformed},
		"no message":                         {[]byte("hello"), ErrMalformed},
		"binary, unknown type":               {field(Binary, 5, 0), ErrMalformed},
		"compact, unknown type":              {field(Compact, 0, 14), ErrMalformed},
		"binary, a string of 2 GB":           {field(Binary, String, 8, 0x7f, 0xff, 0xff, 0xff), ErrTooLarge},
		"binary, a negative string":          {field(Binary, String, 8, 0x80, 0, 0, 0), ErrMalformed},
		"compact, a string of 2 GB":          {field(Compact, String, 8, 0xff, 0xff, 0xff, 0xff, 0x07), ErrTooLarge},
		"compact, a negative string":         {field(Compact, String, 8, 0xff, 0xff, 0xff, 0xff, 0x0f), ErrMalformed},
		"compact, a varint of 11 bytes":      {field(Compact, I64, 6, elevenBytes...), ErrMalformed},
		"compact, an i16 of 4 bytes":         {field(Compact, I16, 4, 0x80, 0x80, 0x80, 1), ErrMalformed},
		"compact, a field id of 4 bytes":     {append(AppendHeader(nil, Compact, Call, []byte("m"), 1), 8, 0x80, 0x80, 0x80, 1), ErrMalformed},
		"binary, a list of 2^31-1 bytes":     {field(Binary, List, 9, 3, 0x7f, 0xff, 0xff, 0xff), ErrTooLarge},
		"binary, a list of 2^31-1 structs":   {field(Binary, List, 9, 12, 0x7f, 0xff, 0xff, 0xff), ErrTooLarge},
		"binary, a list of -2^31":            {field(Binary, List, 9, 3, 0x80, 0, 0, 0), ErrMalformed},
		"binary, a map of 2^31-1":            {field(Binary, Map, 11, 3, 3, 0x7f, 0xff, 0xff, 0xff), ErrTooLarge},
		"binary, a list of unknown type":     {field(Binary, List, 9, 5, 0, 0, 0, 1), ErrMalformed},
		"compact, a list of 2^31-1":          {field(Compact, List, 9, 0xf3, 0xff, 0xff, 0xff, 0xff, 0x07), ErrTooLarge},
		"compact, a map of 2^31-1":           {field(Compact, Map, 11, 0xff, 0xff, 0xff, 0xff, 0x07, 0x33), ErrTooLarge},
		"compact, a list of unknown type":    {field(Compact, List, 9, 0x1e), ErrMalformed},
		"binary, 10,000 deep":                {nested(Binary, 10_000), ErrTooDeep},
		"compact, 10,000 deep":               {nested(Compact, 10_000), ErrTooDeep},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewReader(Limits{})
			if ok, err := r.Read(c.msg); ok || !errors.Is(err, c.want) {
				t.Errorf("at once: %v, %v, want %v", ok, err, c.want)
			}
			r.Reset(Limits{})
			var err error
			for i := 0; i < len(c.msg) && err == nil; i++ {
				var ok bool
				if ok, err = r.Read(c.msg[:i+1]); ok {
					t.Fatal("the message was accepted as complete")
				}
			}
			if !errors.Is(err, c.want) {
				t.Errorf("byte by byte: %v, want %v", err, c.want)
			}
		})
	}
	for _, p := range []Protocol{Binary, OldBinary, Compact} {
		r := NewReader(Limits{Depth: 100})
		if ok, err := r.Read(nested(p, 99)); !ok || err != nil {
			t.Errorf("%v, nested 99 deep: complete %v, error %v", p, ok, err)
		}
		big := AppendException(nil, p, []byte("m"), 1, 0, strings.Repeat("x", 2000))
		r.Reset(Limits{Size: 1000})
		if ok, err := r.Read(big[:100]); ok || !errors.Is(err, ErrTooLarge) {
			t.Errorf("%v, over the size limit: complete %v, error %v", p, ok, err)
		}
	}
}

// A message that is truncated anywhere is incomplete, and no error.
func TestTruncatedMessage(t *testing.T) {
	for proto, f := range protocols() {
		msg := encodeMessage(f, 5, thrift.CALL, 9, "key", 5, 8)
		for i := range msg {
			if ok, err := NewReader(Limits{}).Read(msg[:i]); ok || err != nil {
				t.Fatalf("%v, truncated at %d of %d bytes: complete %v, error %v", proto, i, len(msg), ok, err)
			}
		}
	}
}

func TestDetect(t *testing.T) {
	frame := func(b []byte) []byte { return append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...) }
	for proto, f := range protocols() {
		msg := encodeMessage(f, 1, thrift.CALL, 1, "k", 1, 1)
		for transport, b := range map[Transport][]byte{Unframed: msg, Framed: frame(msg)} {
			for n := range len(b) {
				tr, p, ok, err := Detect(b[:n])
				if err != nil || ok && (tr != transport || p != proto) || n >= DetectBytes && !ok {
					t.Errorf("%v %v, %d bytes: detected %v %v, complete %v, error %v", transport, proto, n, tr, p, ok, err)
				}
			}
		}
	}
	for text, want := range map[string]error{"GET / HTTP/1.1": ErrHTTP, "POST /x HTTP": ErrHTTP, "PRI * HTTP/2": ErrHTTP,
		"\x00\x00\x00\x20\x0f\xff\x00\x00": ErrTHeader, "\x00\x00\x00\x00\x80\x01": ErrMalformed, "\x00\x00\x00\x00": ErrMalformed, "\x00\x00\x00": nil, "\x90\x00\x00\x00\x00": ErrMalformed,
		"\x00\x00\x00\x05\x01abc": ErrMalformed, "HELO there": ErrMalformed} {
		if _, _, _, err := Detect([]byte(text)); !errors.Is(err, want) {
			t.Errorf("%q: %v, want %v", text, err, want)
		}
	}
	for text, want := range map[string]error{"\x00\x00\x00\x00": ErrMalformed, "\xff\xff\xff\xff": ErrMalformed, "\x7f\xff\xff\xff": ErrTooLarge, "\x00\x00\x10\x00": nil} {
		if n, err := FrameSize([]byte(text), 4096); !errors.Is(err, want) || err == nil && n != 4096 {
			t.Errorf("frame header %q: size %d, error %v", text, n, err)
		}
	}
}

// Any bytes give the same result in one piece and byte by byte. A message that the reader accepts and the
// Apache library can read has the same header and length there.
func FuzzReader(f *testing.F) {
	for _, fac := range protocols() {
		for seed := range uint64(8) {
			f.Add(encodeMessage(fac, seed, thrift.CALL, int32(seed), "key", 7, int(seed)))
		}
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) > 1<<16 {
			return
		}
		limits := Limits{Size: 1 << 15, Depth: 32}
		r := NewReader(limits, testPaths...)
		ok, err := r.Read(b)
		if cap(r.stack) > 2*limits.Depth {
			t.Fatalf("the stack has a capacity of %d", cap(r.stack))
		}
		slow := NewReader(limits, testPaths...)
		var slowOK bool
		var slowErr error
		for i := 0; i < len(b) && !slowOK && slowErr == nil; i++ {
			slowOK, slowErr = slow.Read(b[:i+1])
		}
		if ok != slowOK || errors.Is(err, ErrMalformed) != errors.Is(slowErr, ErrMalformed) || ok && fmt.Sprintf("%+v", r.Message) != fmt.Sprintf("%+v", slow.Message) {
			t.Fatalf("at once %v %v %+v, byte by byte %v %v %+v", ok, err, r.Message, slowOK, slowErr, slow.Message)
		}
		if !ok {
			return
		}
		for _, fd := range r.Fields {
			if fd.Found && (fd.Start < r.Body || fd.End > r.Size || fd.Start > fd.End) {
				t.Fatalf("the bounds of field %+v are outside of message %+v", fd, r.Message)
			}
		}
		buf := thrift.NewTMemoryBuffer()
		buf.Write(b[:r.Size])
		p := protocols()[r.Protocol].GetProtocol(buf)
		name, kind, seq, err := p.ReadMessageBegin(ctx)
		if err == nil {
			err = p.Skip(ctx, thrift.STRUCT)
		}
		if err != nil {
			return // the library has limits of its own
		}
		if name != string(r.Name) || Kind(kind) != r.Kind || seq != r.Seq || buf.Len() != 0 {
			t.Fatalf("the library: %q %v %d, %d left; here %+v", name, kind, seq, buf.Len(), r.Message)
		}
	})
}

// typicalCall encodes a call of about 1 KB, the usual size of forwarded calls.
func typicalCall(f thrift.TProtocolFactory) []byte {
	buf := thrift.NewTMemoryBuffer()
	p := f.GetProtocol(buf)
	p.WriteMessageBegin(ctx, "place", thrift.CALL, 5)
	p.WriteStructBegin(ctx, "")
	p.WriteFieldBegin(ctx, "", thrift.STRUCT, 1)
	p.WriteStructBegin(ctx, "")
	for i := range 8 {
		p.WriteFieldBegin(ctx, "", thrift.STRING, int16(i+1))
		p.WriteString(ctx, strings.Repeat("v", 80))
	}
	p.WriteFieldBegin(ctx, "", thrift.LIST, 9)
	p.WriteListBegin(ctx, thrift.I64, 20)
	for i := range 20 {
		p.WriteI64(ctx, int64(i)<<30)
	}
	p.WriteFieldBegin(ctx, "", thrift.MAP, 10)
	p.WriteMapBegin(ctx, thrift.STRING, thrift.I32, 10)
	for i := range 10 {
		p.WriteString(ctx, fmt.Sprint("key-", i))
		p.WriteI32(ctx, int32(i))
	}
	p.WriteFieldStop(ctx)
	p.WriteFieldStop(ctx)
	p.Flush(ctx)
	return bytes.Clone(buf.Bytes())
}

// BenchmarkForward finds the end and the key of a call, and replaces its sequence id.
func BenchmarkForward(b *testing.B) {
	for proto, f := range protocols() {
		b.Run(proto.String(), func(b *testing.B) {
			msg := typicalCall(f)
			r := NewReader(Limits{}, Path{1, 3})
			var head []byte
			b.SetBytes(int64(len(msg)))
			b.ReportAllocs()
			for b.Loop() {
				r.Reset(Limits{})
				if ok, err := r.Read(msg); !ok || err != nil {
					b.Fatal(ok, err)
				}
				head = r.AppendHeadWithSeq(head[:0], msg, 99)
			}
		})
	}
}

// BenchmarkLibrary decodes and encodes the same call with the Apache library, for comparison.
func BenchmarkLibrary(b *testing.B) {
	for proto, f := range protocols() {
		b.Run(proto.String(), func(b *testing.B) {
			msg := typicalCall(f)
			b.SetBytes(int64(len(msg)))
			b.ReportAllocs()
			in, out := thrift.NewTMemoryBufferLen(2048), thrift.NewTMemoryBufferLen(2048)
			for b.Loop() {
				in.Reset()
				out.Reset()
				in.Write(msg)
				r, w := f.GetProtocol(in), f.GetProtocol(out)
				name, kind, _, err := r.ReadMessageBegin(ctx)
				if err != nil {
					b.Fatal(err)
				}
				w.WriteMessageBegin(ctx, name, kind, 99)
				if err := copyValue(r, w, thrift.STRUCT); err != nil {
					b.Fatal(err)
				}
				w.Flush(ctx)
			}
		})
	}
}

// copyValue reads a value and writes it, as generated code does, but without the generated types.
func copyValue(r, w thrift.TProtocol, t thrift.TType) error {
	switch t {
	case thrift.STRUCT:
		r.ReadStructBegin(ctx)
		w.WriteStructBegin(ctx, "")
		for {
			_, ft, id, err := r.ReadFieldBegin(ctx)
			if err != nil {
				return err
			}
			if ft == thrift.STOP {
				return w.WriteFieldStop(ctx)
			}
			w.WriteFieldBegin(ctx, "", ft, id)
			if err := copyValue(r, w, ft); err != nil {
				return err
			}
		}
	case thrift.STRING:
		s, err := r.ReadString(ctx)
		w.WriteString(ctx, s)
		return err
	case thrift.I64:
		v, err := r.ReadI64(ctx)
		w.WriteI64(ctx, v)
		return err
	case thrift.I32:
		v, err := r.ReadI32(ctx)
		w.WriteI32(ctx, v)
		return err
	case thrift.LIST:
		et, n, err := r.ReadListBegin(ctx)
		w.WriteListBegin(ctx, et, n)
		for i := 0; i < n && err == nil; i++ {
			err = copyValue(r, w, et)
		}
		return err
	case thrift.MAP:
		kt, vt, n, err := r.ReadMapBegin(ctx)
		w.WriteMapBegin(ctx, kt, vt, n)
		for i := 0; i < n && err == nil; i++ {
			if err = copyValue(r, w, kt); err == nil {
				err = copyValue(r, w, vt)
			}
		}
		return err
	}
	return fmt.Errorf("no copy of %v", t)
}

// BenchmarkLinear shows that the time is linear in the size, byte by byte, and in the depth.
func BenchmarkLinear(b *testing.B) {
	for _, size := range []int{1 << 10, 1 << 14, 1 << 18} {
		msg := AppendException(nil, Compact, []byte("m"), 1, 0, strings.Repeat("x", size))
		b.Run(fmt.Sprint("bytes ", size), func(b *testing.B) {
			b.SetBytes(int64(len(msg)))
			r := NewReader(Limits{})
			for b.Loop() {
				r.Reset(Limits{})
				for i := range msg {
					r.Read(msg[:i+1])
				}
			}
		})
	}
	for _, depth := range []int{16, 256, 4096} {
		msg := nested(Compact, depth)
		b.Run(fmt.Sprint("depth ", depth), func(b *testing.B) {
			b.SetBytes(int64(len(msg)))
			r := NewReader(Limits{Depth: 5000})
			for b.Loop() {
				r.Reset(Limits{Depth: 5000})
				if ok, err := r.Read(msg); !ok || err != nil {
					b.Fatal(ok, err)
				}
			}
		})
	}
}
