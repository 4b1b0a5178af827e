// Package roster is the membership source that the platform gives: a list over HTTP/1.1 that is
// asked for whole, or watched (PROTOCOL page, "Discovery"). Client makes the calls and hands on what
// they bring; it never decides when to call again after a failure.
package roster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"ringtrack.example/ringtrack/internal/membership"
)

const (
	// watchWait is how long one call of a watch may stand. Longer ones would only
	// find out later that discovery has gone silent.
	watchWait = 10 * time.Second
	// answerWithin is what a call for the whole list may take. A roster that many ask has a line; it gives
	// up by itself whoever stood there for too long, after 1 to 2 s as far as seen, and who leaves before
	// has cost it the same work for nothing.
	answerWithin = 3 * time.Second
	// callGrace is what a call of a watch may take beyond the wait. A change that discovery does not bring
	// counts as told 2 s after the wait: by then the next call is to be out.
	callGrace = 1200 * time.Millisecond
	// WholeTries and wholePause bound how the whole list of a new discovery is asked
	// for before the module's own, slower, calls: the old one is no longer heard. The pause
	// is drawn, and wider each time: all agents may have been told of the new one at once.
	WholeTries, wholePause = 3, 200 * time.Millisecond
	// callsPerS and callBurst bound the calls: a discovery that answers watches at
	// once must not be asked in a tight loop. A watch outlives the gap.
	callsPerS, callBurst = 10, 10
	// eagerCallsPerS is the same for a roster that few ask, or that stands on the agent's own machine: a
	// drain that waited for its turn would come late.
	eagerCallsPerS = 50
	// MaxList bounds an answer of the roster, in bytes.
	MaxList = 8 << 20
)

// Client makes the calls that the module asks for and hands on what they
// bring. When to call again after a failure is the module's to decide: a failed
// call ends the watch and is told as ListFailed, and the module answers with a
// timer, doubled and jittered, so that discovery is never hammered.
type Client struct {
	ctx    context.Context // ends when another discovery takes its place
	end    context.CancelFunc
	Addr   string // host:port of the roster
	url    string
	client *http.Client
	limit  *rate.Limiter
	// Told is called with each answer; a nil list is a failure.
	// Alive, where it is set, is called with each answer of a watch, also one that tells nothing:
	// the roster lives.
	Alive func()
	Told  func(l *membership.List, watch bool, err error)
}

// NewClient returns a client of the roster at addr; its calls end with ctx. Told is to be set before the first.
func NewClient(ctx context.Context, addr string) *Client {
	dialer := net.Dialer{Timeout: callGrace}
	ctx, end := context.WithCancel(ctx)
	return &Client{
		ctx: ctx, end: end, Addr: addr,
		url: "http://" + addr + "/api/targets",
		client: &http.Client{Transport: &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: 2, MaxConnsPerHost: 4,
			IdleConnTimeout: time.Minute, DisableCompression: true,
		}},
		limit: rate.NewLimiter(callsPerS, callBurst),
	}
}

// Eager lets the client call more often: for a roster that few ask, or that stands on this very machine. It
// is to be called before the first call.
func (d *Client) Eager() { d.limit = rate.NewLimiter(eagerCallsPerS, eagerCallsPerS) }

// Done is closed once the client has been closed.
func (d *Client) Done() <-chan struct{} { return d.ctx.Done() }

// Close ends all calls and connections.
func (d *Client) Close() {
	d.end()
	d.client.CloseIdleConnections()
}

// Watch follows the changes from version on, until a call fails or the discovery is
// left; where no list of this discovery is at hand yet it asks for the whole one
// first. The next call goes out before the last answer is even handed on: a watch
// lives for 200 ms without one, and a new watch loads discovery. It returns whether
// any call was answered.
func (d *Client) Watch(version uint64, whole bool) (answered bool) {
	if whole {
		l, err := d.whole()
		if d.ctx.Err() != nil {
			return false
		}
		if err != nil {
			d.Told(nil, true, err)
			return false
		}
		answered = true
		version = l.Revision
		d.Told(l, true, nil)
	}
	type result struct {
		list *membership.List
		err  error
	}
	call := func(from uint64) chan result {
		done := make(chan result, 1)
		go func() {
			l, err := d.get(fmt.Sprintf("?index=%d&wait=%d", from, watchWait.Milliseconds()),
				watchWait+callGrace)
			done <- result{l, err}
		}()
		return done
	}
	next := call(version)
	for first := !whole; ; first = false {
		r := <-next
		if d.ctx.Err() != nil {
			return answered
		}
		if r.err != nil {
			d.Told(nil, true, r.err)
			return answered
		}
		answered = true
		next = call(r.list.Revision)
		if d.Alive != nil {
			d.Alive()
		}
		// An empty answer says nothing, but the first is the answer to the call.
		if first || r.list.Full || len(r.list.Entries) > 0 {
			d.Told(r.list, true, nil)
		}
	}
}

// Follow watches until the client is closed, for a caller that has nobody to say when to call again: the
// whole list, then its changes; after a failure the same again. The pause before is least at first, doubled
// with each failure in a row up to most, and drawn evenly from its upper half.
func (d *Client) Follow(least, most time.Duration) {
	for pause := least; d.ctx.Err() == nil; pause = min(2*pause, most) {
		if d.Watch(0, true) {
			pause = least
		}
		select {
		case <-time.After(pause/2 + rand.N(pause/2+1)):
		case <-d.ctx.Done():
		}
	}
}

// Fetch asks for the whole list once.
func (d *Client) Fetch() {
	l, err := d.get("", answerWithin)
	if d.ctx.Err() == nil {
		d.Told(l, false, err)
	}
}

// whole asks for the whole list, and again if that fails.
func (d *Client) whole() (l *membership.List, err error) {
	for try := range WholeTries {
		if try > 0 {
			select {
			case <-time.After(wholePause/2 + rand.N(wholePause<<try)):
			case <-d.ctx.Done():
			}
		}
		if l, err = d.get("", answerWithin); err == nil && l.Full {
			return l, nil
		}
		if err == nil {
			err = errors.New("discovery: not the whole list")
		}
	}
	return nil, err
}

func (d *Client) get(query string, within time.Duration) (*membership.List, error) {
	if err := d.limit.Wait(d.ctx); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	ctx, cancel := context.WithTimeout(d.ctx, within)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, d.url+query, nil)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, MaxList))
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("discovery: answered %d", resp.StatusCode)
	}
	var l membership.List
	if err := json.Unmarshal(text, &l); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	return &l, nil
}
