package world

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"ringtrack.example/ringtrack/internal/downstream/thrift"
	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/lab/thriftlab"
)

// Protocol is the protocol of the clients, the agent and the servers of a world.
type Protocol struct {
	Name string
	// Encoding is the Thrift encoding; nil: HTTP/1.1.
	Encoding *thriftlab.Encoding
}

// HTTP is HTTP/1.1.
var HTTP = Protocol{Name: "HTTP"}

// Protocols returns all protocols that the agent supports.
func Protocols() []Protocol {
	all := []Protocol{HTTP}
	for _, e := range thriftlab.Encodings() {
		all = append(all, Protocol{e.Name, &e})
	}
	return all
}

// Thrift reports whether the protocol is Thrift.
func (p Protocol) Thrift() bool { return p.Encoding != nil }

// Request is a request of a client.
type Request struct {
	Op      string // identifies it in the ledger
	Method  string // over HTTP: the class
	Effect  lab.Effect
	Key     string
	Timeout time.Duration
	Kind    thriftlab.Kind // Thrift only
	Seq     int32          // Thrift only
}

// Answer is an answer to a client.
type Answer struct {
	Outcome     lab.Outcome
	RetryAfter  time.Duration // of a rejection: how long to wait before a retry
	Code        int           // application exception type or HTTP status; 0 if the request was served
	Receipt     string
	ExceptionID int16 // field ID of the declared exception; 0: none
	Text        string
	Seq         int32
}

var lastRequestID atomic.Uint64

// Encode returns a request as it is sent on a connection. Each encoded HTTP request has a new request ID.
func (p Protocol) Encode(r *Request) []byte {
	if p.Thrift() {
		return p.Encoding.Encode(r.Method, r.Kind, r.Seq,
			&thriftlab.Order{Op: r.Op, Key: r.Key, Ms: int32(r.Timeout.Milliseconds()), Lines: []string{"a", "b"}})
	}
	var b bytes.Buffer
	target, body := "/api/"+r.Key, r.Op+" a b"
	if r.Effect == lab.Idempotent {
		fmt.Fprintf(&b, "GET %s?op=%s HTTP/1.1\r\n", target, r.Op)
		body = ""
	} else {
		fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nContent-Length: %d\r\n", target, len(body))
	}
	fmt.Fprintf(&b, "Host: agent\r\nRequest-Id: %016x\r\nRequest-Class: %s\r\nRequest-Timeout-Ms: %d\r\n",
		lastRequestID.Add(1), r.Method, r.Timeout.Milliseconds())
	if r.Effect == lab.IdempotentByKey {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", r.Op)
	}
	b.WriteString("\r\n" + body)
	return b.Bytes()
}

// Client is a client connection.
type Client struct {
	net.Conn
	br     *bufio.Reader
	thrift *thriftlab.Reader // nil: HTTP
}

// Dial connects a client to addr. The timeout bounds everything that is done on the connection.
func (p Protocol) Dial(addr string, timeout time.Duration) (*Client, error) {
	nc, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, err
	}
	nc.SetDeadline(time.Now().Add(timeout))
	c := &Client{Conn: nc, br: bufio.NewReader(nc)}
	if p.Thrift() {
		c.thrift = p.Encoding.NewReader(c.br)
	}
	return c, nil
}

// Read reads the next answer.
func (c *Client) Read() (a Answer, err error) {
	if c.thrift != nil {
		res, seq, code, err := c.thrift.Read()
		a = Answer{Outcome: lab.Served, Receipt: res.Receipt, ExceptionID: res.ExceptionID, Text: res.Text, Seq: seq}
		if code >= 0 {
			a.Outcome, a.Code = lab.Failed, int(code)
		}
		if code == thrift.CodeRejected {
			a.Outcome = lab.Rejected
			if _, rest, ok := strings.Cut(res.Text, "come back after "); ok {
				ms, _ := strconv.ParseFloat(strings.TrimSuffix(rest, " ms"), 64)
				a.RetryAfter = time.Duration(ms * float64(time.Millisecond))
			}
		}
		return a, err
	}
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return a, err
	}
	body, err := io.ReadAll(resp.Body)
	a = Answer{Outcome: lab.Failed, Code: resp.StatusCode, Text: string(body)}
	switch resp.StatusCode {
	case http.StatusOK:
		a.Outcome, a.Code, a.Receipt = lab.Served, 0, string(body)
	case http.StatusServiceUnavailable:
		a.Outcome = lab.Rejected
		s, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		a.RetryAfter = time.Duration(s * float64(time.Second))
	}
	return a, err
}
