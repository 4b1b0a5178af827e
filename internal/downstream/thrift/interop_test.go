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

// waitTimeout bounds each wait in the tests.
const waitTimeout = 20 * time.Second

// randomStruct is a struct of random fields, which depend only on the seed. Read stores what it reads in the
// binary protocol, for comparison.
type randomStruct struct {
	seed uint64
	got  []byte
}

// encodeBinary returns what write writes, in the binary protocol.
func encodeBinary(write func(thrift.TProtocol)) []byte {
	buf := thrift.NewTMemoryBuffer()
	p := thrift.NewTBinaryProtocolConf(buf, nil)
	write(p)
	p.Flush(context.Background())
	return bytes.Clone(buf.Bytes())
}

func (t *randomStruct) want() []byte {
	return encodeBinary(func(p thrift.TProtocol) { t.Write(context.Background(), p) })
}

func (t *randomStruct) Write(ctx context.Context, p thrift.TProtocol) error {
	writeStruct(ctx, p, rand.New(rand.NewPCG(t.seed, 9)), 0)
	return nil
}

func (t *randomStruct) Read(ctx context.Context, p thrift.TProtocol) (err error) {
	t.got = encodeBinary(func(out thrift.TProtocol) { err = copyValue(ctx, p, out, thrift.STRUCT) })
	return err
}

func writeStruct(ctx context.Context, p thrift.TProtocol, rng *rand.Rand, depth int) {
	p.WriteStructBegin(ctx, "s")
	for id := range int16(1 + rng.IntN(6)) { // a union is a struct with one field
		t := randomType(rng, depth)
		p.WriteFieldBegin(ctx, "f", t, id*int16(1+rng.IntN(40))+1)
		writeValue(ctx, p, rng, t, depth+1)
		p.WriteFieldEnd(ctx)
	}
	p.WriteFieldStop(ctx)
	p.WriteStructEnd(ctx)
}

func randomType(rng *rand.Rand, depth int) thrift.TType {
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
		e, n := randomType(rng, depth), rng.IntN(5)
		if t == thrift.LIST {
			p.WriteListBegin(ctx, e, n)
		} else {
			p.WriteSetBegin(ctx, e, n)
		}
		for range n {
			writeValue(ctx, p, rng, e, depth+1)
		}
	case thrift.MAP:
		k, v, n := randomType(rng, depth), randomType(rng, depth), 1+rng.IntN(4)
		p.WriteMapBegin(ctx, k, v, n)
		for range n {
			writeValue(ctx, p, rng, k, depth+1)
			writeValue(ctx, p, rng, v, depth+1)
		}
	}
}

// copyValue reads a value from in and writes it to out.
func copyValue(ctx context.Context, in, out thrift.TProtocol, t thrift.TType) error {
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
			if err := copyValue(ctx, in, out, ft); err != nil {
				return err
			}
			in.ReadFieldEnd(ctx)
		}
	case thrift.LIST:
		e, n, err := in.ReadListBegin(ctx)
		out.WriteListBegin(ctx, e, n)
		for i := 0; i < n && err == nil; i++ {
			err = copyValue(ctx, in, out, e)
		}
		return err
	case thrift.SET:
		e, n, err := in.ReadSetBegin(ctx)
		out.WriteSetBegin(ctx, e, n)
		for i := 0; i < n && err == nil; i++ {
			err = copyValue(ctx, in, out, e)
		}
		return err
	case thrift.MAP:
		k, v, n, err := in.ReadMapBegin(ctx)
		out.WriteMapBegin(ctx, k, v, n)
		for i := 0; i < n && err == nil; i++ {
			if err = copyValue(ctx, in, out, k); err == nil {
				err = copyValue(ctx, in, out, v)
			}
		}
		return err
	}
	return fmt.Errorf("no copy of %v", t)
}

// echoService is a service whose arguments and results are random structs.
type echoService struct {
	mu   sync.Mutex
	got  [][]byte
	seed uint64 // of the results
}

func (e *echoService) Process(ctx context.Context, in, out thrift.TProtocol) (bool, thrift.TException) {
	name, kind, seq, err := in.ReadMessageBegin(ctx)
	if err != nil {
		return false, thrift.WrapTException(err)
	}
	var args randomStruct
	if err := args.Read(ctx, in); err != nil {
		return false, thrift.WrapTException(err)
	}
	in.ReadMessageEnd(ctx)
	e.mu.Lock()
	e.got = append(e.got, args.got)
	e.seed++
	result := randomStruct{seed: e.seed}
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

func (e *echoService) ProcessorMap() map[string]thrift.TProcessorFunction  { return nil }
func (e *echoService) AddToProcessorMap(string, thrift.TProcessorFunction) {}

// transportFactory returns the Apache library's transport for an encoding.
func transportFactory(enc *thriftlab.Encoding) thrift.TTransportFactory {
	if enc.Framed {
		return thrift.NewTFramedTransportFactoryConf(thrift.NewTTransportFactory(), &thrift.TConfiguration{})
	}
	return thrift.NewTBufferedTransportFactory(4096)
}

// startEchoServer starts a server of the Apache library, multiplexed if service is not "".
func startEchoServer(t *testing.T, enc *thriftlab.Encoding, service string) (e *echoService, addr string) {
	t.Helper()
	sock, err := thrift.NewTServerSocket("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := sock.Listen(); err != nil {
		t.Fatal(err)
	}
	e = &echoService{}
	var processor thrift.TProcessor = e
	if service != "" {
		m := thrift.NewTMultiplexedProcessor()
		m.RegisterProcessor(service, e)
		processor = m
	}
	server := thrift.NewTSimpleServer4(processor, sock, transportFactory(enc), enc.Protocol)
	served := make(chan error, 1)
	go func() { served <- server.AcceptLoop() }()
	t.Cleanup(func() {
		sock.Interrupt()
		<-served
	})
	return e, sock.Addr().String()
}

// connectClient connects a client of the Apache library, multiplexed if service is not "". It also returns
// the protocol to which the client writes.
func connectClient(t *testing.T, enc *thriftlab.Encoding, addr, service string) (*thrift.TStandardClient, thrift.TProtocol) {
	t.Helper()
	socket := thrift.NewTSocketConf(addr, &thrift.TConfiguration{ConnectTimeout: waitTimeout, SocketTimeout: waitTimeout})
	if err := socket.Open(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { socket.Close() })
	transport, err := transportFactory(enc).GetTransport(socket)
	if err != nil {
		t.Fatal(err)
	}
	in := enc.Protocol.GetProtocol(transport)
	out := in
	if service != "" {
		out = thrift.NewTMultiplexedProtocol(in, service)
	}
	return thrift.NewTStandardClient(in, out), out
}

// arguments waits for the arguments of call i. It returns nil if they do not arrive.
func (e *echoService) arguments(i int) []byte {
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(50 * time.Microsecond) {
		e.mu.Lock()
		if len(e.got) > i {
			defer e.mu.Unlock()
			return e.got[i]
		}
		e.mu.Unlock()
	}
	return nil
}

// Clients and servers of the Apache library communicate through the agent, in each transport and protocol,
// plain and multiplexed, with values of all types.
func TestApacheLibraryInterop(t *testing.T) {
	for _, enc := range thriftlab.Encodings() {
		for _, service := range []string{"", "Echo"} {
			t.Run(enc.Name+"/"+service, func(t *testing.T) {
				t.Parallel()
				ctx := context.Background()
				e, addr := startEchoServer(t, &enc, service)
				w, err := world.New(world.Protocol{Name: enc.Name, Encoding: &enc}, world.Options{Seed: 7,
					Entries: []membership.Entry{{ID: "s-1", Addr: addr, Zone: "east", State: membership.Up, Weight: 1}}})
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { w.Close() })
				client, out := connectClient(t, &enc, w.Addr, service)
				for i := range uint64(60) {
					args, result := randomStruct{seed: 1000 + i}, randomStruct{}
					oneWay := i%5 == 4
					if oneWay { // as a message of type ONEWAY, which the library's client does not send
						out.WriteMessageBegin(ctx, "place", thrift.ONEWAY, int32(i))
						args.Write(ctx, out)
						out.WriteMessageEnd(ctx)
						if err := out.Flush(ctx); err != nil {
							t.Fatal(err)
						}
					} else if _, err := client.Call(ctx, "place", &args, &result); err != nil {
						t.Fatalf("call %d: %v", i, err)
					}
					if !bytes.Equal(e.arguments(int(i)), args.want()) {
						t.Fatalf("call %d: the backend received other arguments", i)
					}
					if !oneWay && !bytes.Equal(result.got, (&randomStruct{seed: i + 1}).want()) {
						t.Fatalf("call %d: the client received another result", i)
					}
				}
				var x thrift.TApplicationException
				_, err = client.Call(ctx, "fail", &randomStruct{seed: 1}, &randomStruct{})
				if !errors.As(err, &x) || x.TypeId() != thrift.UNKNOWN_METHOD || x.Error() != "fail is unknown" {
					t.Errorf("the backend's own exception arrived as %v", err)
				}
			})
		}
	}
}
