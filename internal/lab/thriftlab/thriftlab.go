// Package thriftlab has stand-ins that speak Thrift, by the apache library and not by the product's code:
// an order server whose behaviour is scripted, and a client.
package thriftlab

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/apache/thrift/lib/go/thrift"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/membership"
)

// Encoding is a transport and a protocol.
type Encoding struct {
	Name     string
	Framed   bool
	Protocol thrift.TProtocolFactory
}

var conf = &thrift.TConfiguration{MaxFrameSize: 32 << 20, MaxMessageSize: 64 << 20}

// Encodings are those that the product speaks.
func Encodings() []Encoding {
	binary, compact := thrift.NewTBinaryProtocolFactoryConf(conf), thrift.NewTCompactProtocolFactoryConf(conf)
	old := thrift.NewTBinaryProtocolFactoryConf(&thrift.TConfiguration{TBinaryStrictWrite: thrift.BoolPtr(false), TBinaryStrictRead: thrift.BoolPtr(false)})
	return []Encoding{{"framed binary", true, binary}, {"framed compact", true, compact}, {"unframed binary", false, binary},
		{"unframed compact", false, compact}, {"framed old binary", true, old}, {"unframed old binary", false, old}}
}

func (e Encoding) transport(t thrift.TTransport) thrift.TTransport {
	if e.Framed {
		return thrift.NewTFramedTransportConf(t, conf)
	}
	return thrift.NewTBufferedTransport(t, 4096)
}

// Order is what a call has for arguments: the operation, its key, the client's time in ms, and more.
type Order struct {
	Op, Key string
	Ms      int32
	Lines   []string
}

func (o *Order) Write(ctx context.Context, p thrift.TProtocol) error {
	p.WriteStructBegin(ctx, "args")
	p.WriteFieldBegin(ctx, "order", thrift.STRUCT, 1)
	p.WriteStructBegin(ctx, "Order")
	p.WriteFieldBegin(ctx, "op", thrift.STRING, 1)
	p.WriteString(ctx, o.Op)
	p.WriteFieldBegin(ctx, "key", thrift.STRING, 3)
	p.WriteString(ctx, o.Key)
	p.WriteFieldBegin(ctx, "ms", thrift.I32, 4)
	p.WriteI32(ctx, o.Ms)
	p.WriteFieldBegin(ctx, "lines", thrift.LIST, 5)
	p.WriteListBegin(ctx, thrift.STRING, len(o.Lines))
	for _, l := range o.Lines {
		p.WriteString(ctx, l)
	}
	p.WriteFieldStop(ctx)
	return p.WriteFieldStop(ctx)
}

func (o *Order) Read(ctx context.Context, p thrift.TProtocol) error {
	return fields(ctx, p, func(t thrift.TType, id int16) error {
		if id != 1 || t != thrift.STRUCT {
			return p.Skip(ctx, t)
		}
		return fields(ctx, p, func(t thrift.TType, id int16) (err error) {
			switch {
			case id == 1 && t == thrift.STRING:
				o.Op, err = p.ReadString(ctx)
			case id == 3 && t == thrift.STRING:
				o.Key, err = p.ReadString(ctx)
			case id == 4 && t == thrift.I32:
				o.Ms, err = p.ReadI32(ctx)
			case id == 5 && t == thrift.LIST:
				var n int
				if _, n, err = p.ReadListBegin(ctx); err != nil {
					return err
				}
				for range n {
					s, err := p.ReadString(ctx)
					if err != nil {
						return err
					}
					o.Lines = append(o.Lines, s)
				}
			default:
				err = p.Skip(ctx, t)
			}
			return err
		})
	})
}

func fields(ctx context.Context, p thrift.TProtocol, each func(thrift.TType, int16) error) error {
	if _, err := p.ReadStructBegin(ctx); err != nil {
		return err
	}
	for {
		_, t, id, err := p.ReadFieldBegin(ctx)
		if err != nil {
			return err
		}
		if t == thrift.STOP {
			return p.ReadStructEnd(ctx)
		}
		if err := each(t, id); err != nil {
			return err
		}
	}
}

// Placed is a call's result: the receipt, or a declared exception by its field's id.
type Placed struct {
	Receipt  string
	Declared int16 // 0: none
	Text     string
}

func (r *Placed) Write(ctx context.Context, p thrift.TProtocol) error {
	p.WriteStructBegin(ctx, "result")
	if r.Declared != 0 {
		p.WriteFieldBegin(ctx, "x", thrift.STRUCT, r.Declared)
		p.WriteStructBegin(ctx, "X")
		p.WriteFieldBegin(ctx, "why", thrift.STRING, 1)
		p.WriteString(ctx, r.Text)
		p.WriteFieldStop(ctx)
	} else {
		p.WriteFieldBegin(ctx, "success", thrift.STRING, 0)
		p.WriteString(ctx, r.Receipt)
	}
	return p.WriteFieldStop(ctx)
}

func (r *Placed) Read(ctx context.Context, p thrift.TProtocol) error {
	return fields(ctx, p, func(t thrift.TType, id int16) (err error) {
		switch {
		case id == 0 && t == thrift.STRING:
			r.Receipt, err = p.ReadString(ctx)
		case t == thrift.STRUCT:
			r.Declared = id
			err = fields(ctx, p, func(t thrift.TType, id int16) (err error) {
				if id == 1 && t == thrift.STRING {
					r.Text, err = p.ReadString(ctx)
					return err
				}
				return p.Skip(ctx, t)
			})
		default:
			err = p.Skip(ctx, t)
		}
		return err
	})
}

// Mode is how a server behaves.
type Mode int32

// The modes.
const (
	Serving   Mode = iota
	Silent         // reads, and answers nothing
	Breaking       // runs, then resets the connection
	Raising        // runs, and answers an application exception
	Full           // does not run: declared exception 2
	WrongSeq       // runs, and answers under another sequence id
	Twice          // answers twice
	OtherName      // answers for another method
	Half           // answers half a reply, and nothing more
	Slow           // answers a byte at a time
	NotThrift      // answers in HTTP
	Declaring      // runs, and answers declared exception 2
)

// Server is a stand-in order server.
type Server struct {
	*lab.Acceptor
	ID     string
	Entry  membership.Entry
	Work   time.Duration
	enc    Encoding
	ledger *lab.Ledger
	mode   atomic.Int32
	Calls  atomic.Int64
}

// NewServer starts one; ledger may be nil.
func NewServer(id string, enc Encoding, ledger *lab.Ledger) (*Server, error) {
	s := &Server{ID: id, enc: enc, ledger: ledger}
	var err error
	if s.Acceptor, err = lab.Accept(s.serve); err != nil {
		return nil, err
	}
	s.Entry = membership.Entry{ID: id, Addr: s.Addr, Zone: "east", Kind: "fast", State: membership.Up, Weight: 1}
	return s, nil
}

// Set changes the mode.
func (s *Server) Set(m Mode) { s.mode.Store(int32(m)) }

func (s *Server) serve(c net.Conn) {
	ctx := context.Background()
	t := s.enc.transport(thrift.NewTSocketFromConnConf(c, &thrift.TConfiguration{}))
	p := s.enc.Protocol.GetProtocol(t)
	for {
		name, kind, seq, err := p.ReadMessageBegin(ctx)
		if err != nil {
			return
		}
		began := time.Now()
		var o Order
		if err := o.Read(ctx, p); err != nil {
			return
		}
		if err := p.ReadMessageEnd(ctx); err != nil {
			return
		}
		s.Calls.Add(1)
		if s.ledger != nil {
			s.ledger.Began(s.ID, began)
		}
		mode := Mode(s.mode.Load())
		ran := func() {
			if s.ledger != nil && o.Op != "" {
				s.ledger.Ran(s.ID, o.Op, time.Now())
			}
		}
		if kind == thrift.ONEWAY || name == "tell" {
			ran()
			continue
		}
		if s.Work > 0 {
			time.Sleep(s.Work)
		}
		reply := Placed{Receipt: s.ID + " " + o.Op}
		switch mode {
		case Silent:
			io.Copy(io.Discard, c)
			return
		case Breaking:
			ran()
			c.(*net.TCPConn).SetLinger(0)
			return
		case Full:
			reply = Placed{Declared: 2, Text: "full"}
		case Declaring:
			reply = Placed{Declared: 2, Text: "full"}
		case WrongSeq:
			seq++
		case OtherName:
			name = "other"
		case NotThrift:
			ran()
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if mode != Full {
			ran()
		}
		out := thrift.NewTMemoryBuffer()
		ot := s.enc.transport(out)
		op := s.enc.Protocol.GetProtocol(ot)
		if mode == Raising {
			op.WriteMessageBegin(ctx, name, thrift.EXCEPTION, seq)
			thrift.NewTApplicationException(thrift.INTERNAL_ERROR, "raised").Write(ctx, op)
		} else {
			op.WriteMessageBegin(ctx, name, thrift.REPLY, seq)
			reply.Write(ctx, op)
		}
		op.WriteMessageEnd(ctx)
		op.Flush(ctx)
		b := out.Bytes()
		switch mode {
		case Twice:
			c.Write(append(append([]byte(nil), b...), b...))
		case Half:
			c.Write(b[:len(b)/2])
			io.Copy(io.Discard, c)
			return
		case Slow:
			for i := range b {
				c.Write(b[i : i+1])
			}
		default:
			c.Write(b)
		}
	}
}

// Client is the apache library's client on one connection.
type Client struct {
	t *thrift.TSocket
	p thrift.TProtocol
	c *thrift.TStandardClient
}

// Dial connects one.
func Dial(addr string, enc Encoding, timeout time.Duration) (*Client, error) {
	s := thrift.NewTSocketConf(addr, &thrift.TConfiguration{ConnectTimeout: timeout, SocketTimeout: timeout})
	if err := s.Open(); err != nil {
		return nil, err
	}
	t := enc.transport(s)
	p := enc.Protocol.GetProtocol(t)
	return &Client{s, p, thrift.NewTStandardClient(enc.Protocol.GetProtocol(t), p)}, nil
}

// Close closes it.
func (c *Client) Close() { c.t.Close() }

// Place makes a call. The code of an application exception comes back, or -1 where there was none.
func (c *Client) Place(method string, o *Order) (r Placed, code int32, err error) {
	_, err = c.c.Call(context.Background(), method, o, &r)
	var x thrift.TApplicationException
	if errors.As(err, &x) {
		return r, x.TypeId(), err
	}
	return r, -1, err
}

// Tell makes a oneway call as the specification has it. The library's own client sends these as CALL.
func (c *Client) Tell(method string, o *Order) error {
	ctx := context.Background()
	if err := c.p.WriteMessageBegin(ctx, method, thrift.ONEWAY, 7); err != nil {
		return err
	}
	if err := o.Write(ctx, c.p); err != nil {
		return err
	}
	if err := c.p.WriteMessageEnd(ctx); err != nil {
		return err
	}
	return c.p.Flush(ctx)
}

// TellAsCall makes a oneway call as the apache library for Go sends it: of the type CALL, with nobody
// waiting for an answer.
func (c *Client) TellAsCall(method string, o *Order) error {
	_, err := c.c.Call(context.Background(), method, o, nil)
	return err
}
