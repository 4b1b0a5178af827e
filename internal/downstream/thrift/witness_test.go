package thrift_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apache/thrift/lib/go/thrift"

	"ringtrack.example/ringtrack/internal/lab/thriftlab"
	"ringtrack.example/ringtrack/internal/lab/world"
	"ringtrack.example/ringtrack/internal/membership"
)

// patience bounds every wait of the tests.
const patience = 20 * time.Second

// The witness: clients and servers of the apache library talk through the front, in every transport and
// protocol that it has of ours, plain and multiplexed, with all kinds of values.

// thing is a struct of random fields, the same for the same seed; what is read is kept in a form that can
// be compared.
type thing struct {
	seed uint64
	got  []byte
}

// dump writes what write does into the plainest of protocols.
func dump(write func(thrift.TProtocol)) []byte {
	buf := thrift.NewTMemoryBuffer()
	p := thrift.NewTBinaryProtocolConf(buf, nil)
	write(p)
	p.Flush(context.Background())
	return bytes.Clone(buf.Bytes())
}

func (t *thing) want() []byte {
	return dump(func(p thrift.TProtocol) { t.Write(context.Background(), p) })
}

func (t *thing) Write(ctx context.Context, p thrift.TProtocol) error {
	writeStruct(ctx, p, rand.New(rand.NewPCG(t.seed, 9)), 0)
	return nil
}

func (t *thing) Read(ctx context.Context, p thrift.TProtocol) (err error) {
	t.got = dump(func(out thrift.TProtocol) { err = copyOf(ctx, p, out, thrift.STRUCT) })
	return err
}

func writeStruct(ctx context.Context, p thrift.TProtocol, rng *rand.Rand, depth int) {
	p.WriteStructBegin(ctx, "s")
	for id := range int16(1 + rng.IntN(6)) { // a union is a struct with one field
		t := someType(rng, depth)
		p.WriteFieldBegin(ctx, "f", t, id*int16(1+rng.IntN(40))+1)
		writeValue(ctx, p, rng, t, depth+1)
		p.WriteFieldEnd(ctx)
	}
	p.WriteFieldStop(ctx)
	p.WriteStructEnd(ctx)
}

func someType(rng *rand.Rand, depth int) thrift.TType {
	all := []thrift.TType{thrift.BOOL, thrift.BYTE, thrift.I16, thrift.I32, thrift.I64, thrift.DOUBLE, thrift.STRING, thrift.STRUCT, thrift.LIST, thrift.SET, thrift.MAP}
	if depth > 3 {
		all = all[:7]
	}
	return all[rng.IntN(len(all))]
}

func writeValue(ctx context.Context, p thrift.TProtocol, rng *rand.Rand, t thrift.TType, depth int) {
	switch t {
	case thrift.BOOL:
		p.WriteBool(ctx, rng.IntN(2) == 0)
	case thrift.BYTE:
		p.WriteByte(ctx, int8(rng.Int()))
	case thrift.I16:
		p.WriteI16(ctx, int16(rng.Int()))
	case thrift.I32:
		p.WriteI32(ctx, int32(rng.Int()))
	case thrift.I64:
		p.WriteI64(ctx, int64(rng.Uint64()))
	case thrift.DOUBLE:
		p.WriteDouble(ctx, rng.NormFloat64())
	case thrift.STRING:
		p.WriteString(ctx, strings.Repeat("é", rng.IntN(3000)))
	case thrift.STRUCT:
		writeStruct(ctx, p, rng, depth)
	case thrift.LIST, thrift.SET:
		e, n := someType(rng, depth), rng.IntN(5)
		if t == thrift.LIST {
			p.WriteListBegin(ctx, e, n)
		} else {
			p.WriteSetBegin(ctx, e, n)
		}
		for range n {
			writeValue(ctx, p, rng, e, depth+1)
		}
	case thrift.MAP:
		k, v, n := someType(rng, depth), someType(rng, depth), 1+rng.IntN(4)
		p.WriteMapBegin(ctx, k, v, n)
		for range n {
			writeValue(ctx, p, rng, k, depth+1)
			writeValue(ctx, p, rng, v, depth+1)
		}
	}
}

// copyOf reads a value by one protocol and writes it by another.
func copyOf(ctx context.Context, in, out thrift.TProtocol, t thrift.TType) error {
	switch t {
	case thrift.BOOL:
		v, err := in.ReadBool(ctx)
		out.WriteBool(ctx, v)
		return err
	case thrift.BYTE:
		v, err := in.ReadByte(ctx)
		out.WriteByte(ctx, v)
		return err
	case thrift.I16:
		v, err := in.ReadI16(ctx)
		out.WriteI16(ctx, v)
		return err
	case thrift.I32:
		v, err := in.ReadI32(ctx)
		out.WriteI32(ctx, v)
		return err
	case thrift.I64:
		v, err := in.ReadI64(ctx)
		out.WriteI64(ctx, v)
		return err
	case thrift.DOUBLE:
		v, err := in.ReadDouble(ctx)
		out.WriteDouble(ctx, v)
		return err
	case thrift.STRING:
		v, err := in.ReadString(ctx)
		out.WriteString(ctx, v)
		return err
	case thrift.STRUCT:
		in.ReadStructBegin(ctx)
		out.WriteStructBegin(ctx, "")
		for {
			_, ft, id, err := in.ReadFieldBegin(ctx)
			if err != nil {
				return err
			}
			if ft == thrift.STOP {
				out.WriteFieldStop(ctx)
				return in.ReadStructEnd(ctx)
			}
			out.WriteFieldBegin(ctx, "", ft, id)
			if err := copyOf(ctx, in, out, ft); err != nil {
				return err
			}
			in.ReadFieldEnd(ctx)
		}
	case thrift.LIST:
		e, n, err := in.ReadListBegin(ctx)
		out.WriteListBegin(ctx, e, n)
		for i := 0; i < n && err == nil; i++ {
			err = copyOf(ctx, in, out, e)
		}
		return err
	case thrift.SET:
		e, n, err := in.ReadSetBegin(ctx)
		out.WriteSetBegin(ctx, e, n)
		for i := 0; i < n && err == nil; i++ {
			err = copyOf(ctx, in, out, e)
		}
		return err
	case thrift.MAP:
		k, v, n, err := in.ReadMapBegin(ctx)
		out.WriteMapBegin(ctx, k, v, n)
		for i := 0; i < n && err == nil; i++ {
			if err = copyOf(ctx, in, out, k); err == nil {
				err = copyOf(ctx, in, out, v)
			}
		}
		return err
	}
	return fmt.Errorf("no copy of %v", t)
}

// echo is a service: its arguments are a thing, its result is another.
type echo struct {
	mu   sync.Mutex
	got  [][]byte
	seed uint64 // of the results
}

func (e *echo) Process(ctx context.Context, in, out thrift.TProtocol) (bool, thrift.TException) {
	name, kind, seq, err := in.ReadMessageBegin(ctx)
	if err != nil {
		return false, thrift.WrapTException(err)
	}
	var args thing
	if err := args.Read(ctx, in); err != nil {
		return false, thrift.WrapTException(err)
	}
	in.ReadMessageEnd(ctx)
	e.mu.Lock()
	e.got = append(e.got, args.got)
	e.seed++
	result := thing{seed: e.seed}
	e.mu.Unlock()
	if kind == thrift.ONEWAY {
		return true, nil
	}
	if name == "fail" {
		out.WriteMessageBegin(ctx, name, thrift.EXCEPTION, seq)
		thrift.NewTApplicationException(thrift.UNKNOWN_METHOD, "fail is unknown").Write(ctx, out)
	} else {
		out.WriteMessageBegin(ctx, name, thrift.REPLY, seq)
		result.Write(ctx, out)
	}
	out.WriteMessageEnd(ctx)
	return true, thrift.WrapTException(out.Flush(ctx))
}

func (e *echo) ProcessorMap() map[string]thrift.TProcessorFunction  { return nil }
func (e *echo) AddToProcessorMap(string, thrift.TProcessorFunction) {}

func TestWitness(t *testing.T) {
	for _, enc := range thriftlab.Encodings() {
		for _, service := range []string{"", "Echo"} {
			t.Run(enc.Name+"/"+service, func(t *testing.T) {
				t.Parallel()
				ctx := context.Background()
				sock, err := thrift.NewTServerSocket("127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				if err := sock.Listen(); err != nil {
					t.Fatal(err)
				}
				e := &echo{}
				var processor thrift.TProcessor = e
				if service != "" {
					m := thrift.NewTMultiplexedProcessor()
					m.RegisterProcessor(service, e)
					processor = m
				}
				var transports thrift.TTransportFactory = thrift.NewTBufferedTransportFactory(4096)
				if enc.Framed {
					transports = thrift.NewTFramedTransportFactoryConf(thrift.NewTTransportFactory(), &thrift.TConfiguration{})
				}
				server := thrift.NewTSimpleServer4(processor, sock, transports, enc.Protocol)
				served := make(chan error, 1)
				go func() { served <- server.AcceptLoop() }()
				t.Cleanup(func() {
					sock.Interrupt()
					<-served
				})
				w, err := world.New(world.Protocol{Name: enc.Name, Encoding: &enc}, world.Options{Seed: 7,
					Entries: []membership.Entry{{ID: "s-1", Addr: sock.Addr().String(), Zone: "east", State: membership.Up, Weight: 1}}})
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { w.Close() })

				socket := thrift.NewTSocketConf(w.Addr, &thrift.TConfiguration{ConnectTimeout: patience, SocketTimeout: patience})
				if err := socket.Open(); err != nil {
					t.Fatal(err)
				}
				defer socket.Close()
				transport, err := transports.GetTransport(socket)
				if err != nil {
					t.Fatal(err)
				}
				in := enc.Protocol.GetProtocol(transport)
				out := in
				if service != "" {
					out = thrift.NewTMultiplexedProtocol(in, service)
				}
				client := thrift.NewTStandardClient(in, out)
				for i := range uint64(60) {
					args, result := thing{seed: 1000 + i}, thing{}
					if i%5 == 4 { // a oneway call, as the specification has it
						out.WriteMessageBegin(ctx, "place", thrift.ONEWAY, int32(i))
						args.Write(ctx, out)
						out.WriteMessageEnd(ctx)
						if err := out.Flush(ctx); err != nil {
							t.Fatal(err)
						}
					} else if _, err := client.Call(ctx, "place", &args, &result); err != nil {
						t.Fatalf("call %d: %v", i, err)
					}
					var at []byte
					for end := time.Now().Add(patience); at == nil && time.Now().Before(end); time.Sleep(50 * time.Microsecond) {
						e.mu.Lock()
						if len(e.got) > int(i) {
							at = e.got[i]
						}
						e.mu.Unlock()
					}
					if !bytes.Equal(at, args.want()) {
						t.Fatalf("call %d: the server got other arguments", i)
					}
					if i%5 != 4 && !bytes.Equal(result.got, (&thing{seed: i + 1}).want()) {
						t.Fatalf("call %d: the client got another result", i)
					}
				}
				var x thrift.TApplicationException
				if _, err := client.Call(ctx, "fail", &thing{seed: 1}, &thing{}); !errors.As(err, &x) || x.TypeId() != thrift.UNKNOWN_METHOD || x.Error() != "fail is unknown" {
					t.Errorf("the server's own exception came as %v", err)
				}
			})
		}
	}
}
