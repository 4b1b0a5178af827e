//go:build review

package main

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/membership"
)

const (
	// orderTime is the time of an order's client. An answer may come half a second later and only earns nothing.
	orderTime   = 1200 * time.Millisecond
	answerGrace = 500 * time.Millisecond
	// killAfter is when SIGKILL follows SIGTERM: the longest deadline and 0.7 s at the earliest.
	killAfter = orderTime + 900*time.Millisecond
	// onewayClients is the number of clients, each with a connection of its own.
	onewayClients = 40
	// notes is the number of notes before a call.
	notes = 14
)

func init() { cases["oneway"] = onewayCase }

// onewayCase: clients speak Thrift. Each of them sends some one-way notes and, as a note has no reply, its next
// call right behind them, then waits for the reply to the call. The agent is told to end (SIGTERM). Each call
// that the agent has read has to get its answer.
func onewayCase(r *run) (broken bool, err error) {
	var entries []membership.Entry
	for i := range 4 {
		s, err := newThriftServer(r, fmt.Sprintf("s-%d", i+1))
		if err != nil {
			return false, err
		}
		defer s.listener.Close()
		entries = append(entries, s.Entry)
	}
	discovery, err := lab.NewDiscoveryService(entries...)
	if err != nil {
		return false, err
	}
	defer discovery.Close()
	front := freeAddr()
	table := filepath.Join(r.tmp, "thrift.toml")
	text := fmt.Sprintf(`listen = %q
unlisted = "unsafe"
class = "point-order"
[[method]]
name = "note"
class = "bulletin-send"
key = "1"
[[method]]
name = "place"
class = "point-order"
key = "1"
deadline_ms = %d
`, front, orderTime.Milliseconds())
	if err := os.WriteFile(table, []byte(text), 0o600); err != nil {
		return false, err
	}
	a, err := r.startAgent("edge-1", discovery.Addr, discovery.List(), "PROXY_THRIFT="+table)
	if err != nil {
		return false, err
	}
	if err := await("http://"+a.listen+"/-/ready", 20*time.Second); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	o := &orders{run: r, addr: front, open: map[int]*order{}}
	sampled := make(chan struct{})
	go func() { defer close(sampled); o.sample(ctx) }()
	var clients sync.WaitGroup
	for i := range onewayClients {
		clients.Go(func() { o.client(ctx, i) })
	}
	time.Sleep(4 * time.Second)
	if r.trouble {
		a.signal(syscall.SIGTERM)
		select {
		case <-a.ended:
			r.logf("the agent has ended")
		case <-time.After(killAfter):
			a.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(time.Second)
	stop()
	clients.Wait()
	<-sampled
	if !r.trouble && !a.runs() {
		return false, errors.New("the agent has ended")
	}
	return o.judge()
}

// order is one call and what became of it.
type order struct {
	id     string
	port   int // of the client's side of its connection
	sent   time.Time
	read   time.Time // when the kernel first showed that the agent had read all of the connection; zero: never
	ended  time.Time
	answer string // "" until it ended
}

// orders are the calls of all clients.
type orders struct {
	run  *run
	addr string

	mu   sync.Mutex
	open map[int]*order // by port
	all  []*order

	samples int
}

// client sends notes and orders on one connection at a time until ctx ends or nobody listens any more.
func (o *orders) client(ctx context.Context, n int) {
	for k := 0; ctx.Err() == nil; {
		nc, err := net.DialTimeout("tcp", o.addr, time.Second)
		if err != nil {
			return // the agent has stopped listening
		}
		br := bufio.NewReader(nc)
		for ok := true; ok && ctx.Err() == nil; k++ {
			ok = o.order(nc, br, fmt.Sprintf("c%d-%d", n, k), int32(k+1))
			time.Sleep(rand.N(4 * time.Millisecond))
		}
		nc.Close()
	}
}

// order sends notes and a call, and waits for the reply to the call. It returns false if the connection is of
// no more use.
func (o *orders) order(nc net.Conn, br *bufio.Reader, id string, seq int32) bool {
	var message []byte
	for i := range notes {
		message = append(message, encodeThrift(onewayMessage, "note", 0, 1, fmt.Sprintf("note-%s-%d", id, i))...)
	}
	message = append(message, encodeThrift(callMessage, "place", seq, 1, "order-"+id)...)
	x := &order{id: id, port: nc.LocalAddr().(*net.TCPAddr).Port}
	nc.SetDeadline(time.Now().Add(orderTime + answerGrace))
	if _, err := nc.Write(message); err != nil {
		return false // the connection was closed before the call was written
	}
	x.sent = time.Now()
	o.mu.Lock()
	o.open[x.port] = x
	o.all = append(o.all, x)
	o.mu.Unlock()
	answer := "reply"
	m, err := readThrift(br)
	switch {
	case err == nil && m.kind == exceptionMessage:
		answer = "exception " + m.text
	case err == nil && (m.kind != replyMessage || m.seq != seq):
		answer = fmt.Sprintf("foreign message of kind %d and sequence id %d", m.kind, m.seq)
	case errors.Is(err, io.EOF):
		answer = "none: the connection was closed"
	case errors.Is(err, syscall.ECONNRESET):
		answer = "none: the connection was reset"
	case err != nil:
		answer = "none: " + err.Error()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.open, x.port)
	x.ended = time.Now()
	x.answer = answer
	return err == nil
}

// sample looks every ms at the agent's side of all connections: one that is established and has no unread bytes
// shows that the agent has read what was written to it before.
func (o *orders) sample(ctx context.Context) {
	sockets, err := newSockets(o.addr)
	if err != nil {
		o.run.logf("sample: %v", err)
		return
	}
	defer sockets.close()
	for ; ctx.Err() == nil; time.Sleep(time.Millisecond) {
		at := time.Now()
		unread, err := sockets.unread()
		if err != nil {
			o.run.logf("sample: %v", err)
			return
		}
		o.mu.Lock()
		for port, x := range o.open {
			if n, established := unread[port]; established && n == 0 && x.read.IsZero() && x.sent.Before(at) {
				x.read = at
			}
		}
		o.samples++
		o.mu.Unlock()
	}
}

// judge writes all orders to the record. An order is lost if the agent had read it and it got no answer.
func (o *orders) judge() (broken bool, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	answers, lost, crossed := map[string]int{}, 0, 0
	for _, x := range o.all {
		read := "not seen as read"
		if !x.read.IsZero() {
			read = fmt.Sprintf("read by the agent after %.1f ms", o.run.ms(x.read)-o.run.ms(x.sent))
		}
		o.run.logAt(x.sent, "order %s, %s; %s after %.1f ms", x.id, read, x.answer, o.run.ms(x.ended)-o.run.ms(x.sent))
		answers[x.answer]++
		switch unanswered := x.answer[:4] == "none"; {
		case unanswered && !x.read.IsZero():
			lost++
			o.run.logAt(x.ended, "BROKEN: order %s was read and got no answer", x.id)
		case unanswered:
			crossed++ // it may have crossed the end of its connection, and would be sent again
		}
	}
	o.run.logf("the connections were looked at %d times", o.samples)
	o.run.logf("%d orders, %v; %d were read and got no answer, %d others got none", len(o.all), answers, lost, crossed)
	o.run.say("%d orders: %d were read by the agent and got no answer; %d others got none and may have crossed a close", len(o.all), lost, crossed)
	if len(o.all) < 100 || answers["reply"] == 0 || o.samples < 500 {
		return false, fmt.Errorf("only %d orders, %d with a reply, and %d looks at the connections", len(o.all), answers["reply"], o.samples)
	}
	return lost > 0, nil
}

// Types of Thrift messages.
const (
	callMessage      = 1
	replyMessage     = 2
	exceptionMessage = 3
	onewayMessage    = 4
)

// encodeThrift returns a message in the framed transport and the strict binary protocol. Its struct has one
// string in the given field.
func encodeThrift(kind byte, name string, seq int32, field uint16, text string) []byte {
	m := []byte{0, 0, 0, 0, 0x80, 0x01, 0, kind}
	m = binary.BigEndian.AppendUint32(m, uint32(len(name)))
	m = append(m, name...)
	m = binary.BigEndian.AppendUint32(m, uint32(seq))
	m = append(m, 11) // string
	m = binary.BigEndian.AppendUint16(m, field)
	m = binary.BigEndian.AppendUint32(m, uint32(len(text)))
	m = append(m, text...)
	m = append(m, 0)
	binary.BigEndian.PutUint32(m, uint32(len(m)-4))
	return m
}

// thriftMessage is a decoded message; text is the string in its first field.
type thriftMessage struct {
	kind byte
	name string
	seq  int32
	text string
}

var errThrift = errors.New("not a message of the expected form")

// readThrift reads a message as encodeThrift writes it, or an application exception.
func readThrift(br *bufio.Reader) (m thriftMessage, err error) {
	var size [4]byte
	if _, err := io.ReadFull(br, size[:]); err != nil {
		return m, err
	}
	b := make([]byte, binary.BigEndian.Uint32(size[:]))
	if _, err := io.ReadFull(br, b); err != nil {
		return m, err
	}
	if len(b) < 8 || b[0] != 0x80 {
		return m, errThrift
	}
	m.kind = b[3]
	n := int(binary.BigEndian.Uint32(b[4:]))
	if len(b) < 8+n+4 {
		return m, errThrift
	}
	m.name = string(b[8 : 8+n])
	m.seq = int32(binary.BigEndian.Uint32(b[8+n:]))
	rest := b[8+n+4:]
	if len(rest) >= 7 && rest[0] == 11 {
		if n := int(binary.BigEndian.Uint32(rest[3:])); len(rest) >= 7+n {
			m.text = string(rest[7 : 7+n])
		}
	}
	return m, nil
}

// thriftServer is a stand-in for a server that speaks Thrift. It works on three calls at once, 20 to 60 ms each,
// and queues the others.
type thriftServer struct {
	membership.Entry
	listener net.Listener
	slots    chan struct{}
	run      *run
}

func newThriftServer(r *run, id string) (*thriftServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &thriftServer{Entry: membership.Entry{ID: id, Addr: ln.Addr().String(), Zone: "kagoshima", Kind: "fast", State: membership.Up, Weight: 1},
		listener: ln, slots: make(chan struct{}, 3), run: r}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(nc)
		}
	}()
	return s, nil
}

func (s *thriftServer) serve(nc net.Conn) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	for notes := 0; ; {
		m, err := readThrift(br)
		if err != nil {
			if notes > 0 {
				s.run.logf("%s got %d notes on one connection", s.ID, notes)
			}
			return
		}
		if m.kind == onewayMessage {
			notes++
			continue
		}
		s.slots <- struct{}{}
		s.run.logf("%s runs %s", s.ID, m.text)
		time.Sleep(20*time.Millisecond + rand.N(40*time.Millisecond))
		<-s.slots
		if _, err := nc.Write(encodeThrift(replyMessage, m.name, m.seq, 0, s.ID+" "+m.text)); err != nil {
			return
		}
	}
}
