package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// MaxConns bounds the connections of an agent's Caller to one address.
	MaxConns = 8
	// maxErrorTextBytes bounds the text of a StatusError.
	maxErrorTextBytes = 512

	dialTimeout     = time.Second
	idleConnTimeout = 30 * time.Second
)

var (
	errResponseTooLong = errors.New("the response is too long")
	// ErrOtherCall says that a response was made for another call.
	ErrOtherCall = errors.New("the response belongs to another call")
)

// StatusError is a response with a status other than 200.
type StatusError struct {
	Status int
	Text   string
}

func (e *StatusError) Error() string { return fmt.Sprintf("%d: %s", e.Status, e.Text) }

// IsDefinite reports whether an error is a definite rejection by a replica: the call had no effect, and
// another replica would reject it too.
func IsDefinite(err error) bool {
	var status *StatusError
	return errors.As(err, &status) && status.Status < http.StatusInternalServerError
}

// CallHeader carries a number that the caller chooses for each call. The response repeats it: its position on
// a connection would not tell which call it belongs to, if more than one response to a call was sent.
const CallHeader = "Ringtrack-Call"

// EchoCalls makes a handler's responses repeat the number of the call.
func EchoCalls(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if call := req.Header.Get(CallHeader); call != "" {
			w.Header().Set(CallHeader, call)
		}
		handler.ServeHTTP(w, req)
	})
}

// Caller makes calls to replicas and agents. Its methods may be called from any goroutine.
type Caller struct {
	Client *http.Client

	lastCall atomic.Uint64
	// echoing has the addresses whose responses have repeated the number of a call. One of an earlier version
	// does not, so this is required only of those.
	echoing sync.Map
}

// NewCaller returns a Caller with the small number of connections that an agent needs.
func NewCaller() *Caller { return NewCallerWithConns(MaxConns) }

// NewCallerWithConns returns a Caller with up to maxConns connections to one address. A replica needs more of
// them than an agent because it forwards calls to the leader.
func NewCallerWithConns(maxConns int) *Caller {
	c := &Caller{Client: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: max(maxConns/4, 2),
		MaxConnsPerHost:     maxConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}}}
	c.lastCall.Store(rand.Uint64())
	return c
}

// Call sends in as JSON in a POST, or makes a GET if in is nil, and decodes the response into out unless that
// is nil. A *StatusError means that a response with another status than 200 arrived; after any other error it
// is unknown whether the call was carried out.
func (c *Caller) Call(ctx context.Context, addr, path string, header http.Header, in, out any) error {
	method := http.MethodGet
	var body io.Reader
	if in != nil {
		text, err := json.Marshal(in)
		if err != nil {
			return err
		}
		method = http.MethodPost
		body = bytes.NewReader(text)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, body)
	if err != nil {
		return err
	}
	for key, values := range header {
		req.Header[key] = values
	}
	req.Header.Set("Content-Type", "application/json")
	call := strconv.FormatUint(c.lastCall.Add(1), 10)
	req.Header.Set(CallHeader, call)
	resp, err := c.Client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := c.checkCall(addr, call, resp.Header.Get(CallHeader)); err != nil {
		return err
	}
	return decodeResponse(resp, out)
}

// checkCall returns ErrOtherCall unless the response from an address belongs to a call.
func (c *Caller) checkCall(addr, call, echoed string) error {
	if echoed == "" {
		if _, echoes := c.echoing.Load(addr); echoes {
			return ErrOtherCall
		}
		return nil
	}
	c.echoing.LoadOrStore(addr, true)
	if echoed != call {
		return ErrOtherCall
	}
	return nil
}

func decodeResponse(resp *http.Response, out any) error {
	text, err := io.ReadAll(io.LimitReader(resp.Body, MaxResponseBytes+1))
	switch {
	case err != nil:
		return err
	case len(text) > MaxResponseBytes:
		return errResponseTooLong
	case resp.StatusCode != http.StatusOK:
		return &StatusError{resp.StatusCode, string(bytes.TrimSpace(text[:min(len(text), maxErrorTextBytes)]))}
	case out == nil:
		return nil
	}
	return json.Unmarshal(text, out)
}
