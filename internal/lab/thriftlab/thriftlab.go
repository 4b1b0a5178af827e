// Package thriftlab has stand-ins that speak Thrift by the Apache library, not by the product's code: a
// backend whose behavior is set by a mode, and a client.
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

// Encoding is a combination of a Thrift transport and protocol.
type Encoding struct {
	Name     string
	Framed   bool
	Protocol thrift.TProtocolFactory
}

var thriftConfig = &thrift.TConfiguration{MaxFrameSize: 32 << 20, MaxMessageSize: 64 << 20}

// Encodings returns the encodings that the product supports.
func Encodings() []Encoding {
	binary, compact := thrift.NewTBinaryProtocolFactoryConf(thriftConfig), thrift.NewTCompactProtocolFactoryConf(thriftConfig)
	nonStrict := thrift.NewTBinaryProtocolFactoryConf(&thrift.TConfiguration{TBinaryStrictWrite: thrift.BoolPtr(false), TBinaryStrictRead: thrift.BoolPtr(false)})
	return []Encoding{{"framed binary", true, binary}, {"framed compact", true, compact}, {"unframed binary", false, binary},
		{"unframed compact", false, compact}, {"framed old binary", true, nonStrict}, {"unframed old binary", false, nonStrict}}
}

func (e Encoding) transport(t thrift.TTransport) thrift.TTransport {
	if e.Framed {
		return thrift.NewTFramedTransportConf(t, thriftConfig)
	}
	return thrift.NewTBufferedTransport(t, 4096)
}

// Order is the arguments of a call: the operation, its idempotency key, the client's timeout in milliseconds
// and a list.
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

// fields reads a struct and calls each for its fields.
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

// Result is the result of a call: a receipt, or a declared exception, identified by its field ID.
type Result struct {
	Receipt     string
	ExceptionID int16 // 0: none
	Text        string
}

func (r *Result) Write(ctx context.Context, p thrift.TProtocol) error {
	p.WriteStructBegin(ctx, "result")
	if r.ExceptionID != 0 {
		p.WriteFieldBegin(ctx, "x", thrift.STRUCT, r.ExceptionID)
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

func (r *Result) Read(ctx context.Context, p thrift.TProtocol) error {
	return fields(ctx, p, func(t thrift.TType, id int16) (err error) {
		switch {
		case id == 0 && t == thrift.STRING:
			r.Receipt, err = p.ReadString(ctx)
		case t == thrift.STRUCT:
			r.ExceptionID = id
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

// Server is a stand-in for a backend that speaks Thrift.
type Server struct {
	*lab.Acceptor
	lab.Work
	ID       string
	Entry    membership.Entry
	enc      Encoding
	ledger   *lab.Ledger
	mode     atomic.Int32
	requests atomic.Int64
}

// NewServer starts a server; ledger may be nil.
func NewServer(id string, enc Encoding, ledger *lab.Ledger) (*Server, error) {
	s := &Server{ID: id, enc: enc, ledger: ledger}
	var err error
	if s.Acceptor, err = lab.Accept(s.serve); err != nil {
		return nil, err
	}
	s.Entry = membership.Entry{ID: id, Addr: s.Addr, Zone: "east", Kind: "fast", State: membership.Up, Weight: 1}
	return s, nil
}

// RequestCount returns the number of calls received.
func (s *Server) RequestCount() int64 { return s.requests.Load() }

// Set changes the mode.
func (s *Server) Set(m lab.Mode) { s.mode.Store(int32(m)) }

func (s *Server) serve(c net.Conn) {
	ctx := context.Background()
	t := s.enc.transport(thrift.NewTSocketFromConnConf(c, &thrift.TConfiguration{}))
	p := s.enc.Protocol.GetProtocol(t)
	for {
		name, kind, seq, err := p.ReadMessageBegin(ctx)
		if err != nil {
			return
		}
		received := time.Now()
		var o Order
		if err := o.Read(ctx, p); err != nil {
			return
		}
		if err := p.ReadMessageEnd(ctx); err != nil {
			return
		}
		s.requests.Add(1)
		if s.ledger != nil {
			s.ledger.RequestReceived(s.ID, received)
		}
		mode := lab.Mode(s.mode.Load())
		recordExecution := func() {
			if s.ledger != nil && o.Op != "" {
				s.ledger.Executed(s.ID, o.Op, time.Now())
			}
		}
		if kind == thrift.ONEWAY || name == "tell" {
			recordExecution()
			continue
		}
		s.Do()
		reply := Result{Receipt: s.ID + " " + o.Op}
		switch mode {
		case lab.Silent:
			io.Copy(io.Discard, c)
			return
		case lab.ResetAfterRun:
			recordExecution()
			c.(*net.TCPConn).SetLinger(0)
			return
		case lab.Rejecting:
			reply = Result{ExceptionID: 2, Text: "full"}
		case lab.DeclaredException:
			reply = Result{ExceptionID: 2, Text: "full"}
		case lab.WrongSequenceID:
			seq++
		case lab.WrongMethodName:
			name = "other"
		case lab.WrongProtocol:
			recordExecution()
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if mode != lab.Rejecting {
			recordExecution()
		}
		out := thrift.NewTMemoryBuffer()
		ot := s.enc.transport(out)
		op := s.enc.Protocol.GetProtocol(ot)
		if mode == lab.Failing {
			op.WriteMessageBegin(ctx, name, thrift.EXCEPTION, seq)
			thrift.NewTApplicationException(thrift.INTERNAL_ERROR, "raised").Write(ctx, op)
		} else {
			op.WriteMessageBegin(ctx, name, thrift.REPLY, seq)
			reply.Write(ctx, op)
		}
		op.WriteMessageEnd(ctx)
		op.Flush(ctx)
		if !mode.Write(c, out.Bytes()) {
			return
		}
	}
}

// Kind is the kind of a message that a client sends.
type Kind uint8

// The kinds.
const (
	Call         Kind = iota
	Oneway            // of the type ONEWAY, by the specification
	OnewayAsCall      // of the type CALL without waiting for a reply, as the Apache library for Go sends it
	Reply             // not a call
)

// Encode returns a message as it is sent on a connection.
func (e Encoding) Encode(method string, kind Kind, seq int32, o *Order) []byte {
	ctx := context.Background()
	out := thrift.NewTMemoryBuffer()
	t := e.transport(out)
	p := e.Protocol.GetProtocol(t)
	p.WriteMessageBegin(ctx, method, map[Kind]thrift.TMessageType{Call: thrift.CALL, Oneway: thrift.ONEWAY,
		OnewayAsCall: thrift.CALL, Reply: thrift.REPLY}[kind], seq)
	o.Write(ctx, p)
	p.WriteMessageEnd(ctx)
	p.Flush(ctx)
	return out.Bytes()
}

// Reader reads the replies on one connection.
type Reader struct{ p thrift.TProtocol }

// NewReader returns a reader of the replies on r.
func (e Encoding) NewReader(r io.Reader) *Reader {
	return &Reader{e.Protocol.GetProtocol(e.transport(thrift.NewStreamTransportR(r)))}
}

// Read reads a reply. code is the type of an application exception, -1 if there is none.
func (r *Reader) Read() (res Result, seq, code int32, err error) {
	ctx := context.Background()
	_, kind, seq, err := r.p.ReadMessageBegin(ctx)
	if err != nil {
		return res, seq, -1, err
	}
	code = -1
	switch kind {
	case thrift.REPLY:
		err = res.Read(ctx, r.p)
	case thrift.EXCEPTION:
		x := thrift.NewTApplicationException(0, "")
		if err = x.Read(ctx, r.p); err == nil {
			code, res.Text = x.TypeId(), x.Error()
		}
	default:
		err = errors.New("thriftlab: the message is not a reply")
	}
	if err == nil {
		err = r.p.ReadMessageEnd(ctx)
	}
	return res, seq, code, err
}
