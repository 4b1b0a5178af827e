package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"ringtrack.example/ringtrack/policy"
)

// List is discovery's answer: the whole list or what changed.
type List struct {
	Version uint64   `json:"version"`
	Full    bool     `json:"full"`
	Servers []Target `json:"servers"`
}

// Target is one backend as discovery lists it.
type Target struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMs float64 `json:"started_ms"`
}

const (
	// watchWait is how long one call of a watch may stand. Longer ones would only
	// find out later that discovery has gone silent.
	watchWait = 10 * time.Second
	// callGrace is what a call may take beyond the wait: discovery gives up calls
	// that stood in its queue for a second. A change that discovery does not bring
	// counts as told 2 s after the wait: by then the next call is to be out.
	callGrace = 1200 * time.Millisecond
	// wholeTries and wholePause bound how the whole list of a new discovery is asked
	// for before the module's own, slower, calls: the old one is no longer heard.
	wholeTries, wholePause = 3, 200 * time.Millisecond
	// callsPerS and callBurst bound the calls: a discovery that answers watches at
	// once must not be asked in a tight loop. A watch outlives the gap.
	callsPerS, callBurst = 10, 10
	// maxList bounds an answer of discovery.
	maxList = 8 << 20
)

// discovery makes the calls that the module asks for and hands on what they
// bring. When to call again after a failure is the module's to decide: a failed
// call ends the watch and is told as ListFailed, and the module answers with a
// timer, doubled and jittered, so that discovery is never hammered.
type discovery struct {
	ctx    context.Context // ends when another discovery takes its place
	end    context.CancelFunc
	addr   string
	url    string
	client *http.Client
	limit  *rate.Limiter
	// told is called with each answer; a nil list is a failure.
	told func(l *List, watch bool, err error)
}

func newDiscovery(ctx context.Context, addr string) *discovery {
	dialer := net.Dialer{Timeout: callGrace}
	ctx, end := context.WithCancel(ctx)
	return &discovery{
		ctx: ctx, end: end, addr: addr,
		url: "http://" + addr + "/api/targets",
		client: &http.Client{Transport: &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: 2, MaxConnsPerHost: 4,
			IdleConnTimeout: time.Minute, DisableCompression: true,
		}},
		limit: rate.NewLimiter(callsPerS, callBurst),
	}
}

// close ends all calls and connections.
func (d *discovery) close() {
	d.end()
	d.client.CloseIdleConnections()
}

// watch follows the changes from version on, until a call fails or the discovery is
// left; where no list of this discovery is at hand yet it asks for the whole one
// first. The next call goes out before the last answer is even handed on: a watch
// lives for 200 ms without one, and a new watch loads discovery.
func (d *discovery) watch(version uint64, whole bool) {
	if whole {
		l, err := d.whole()
		if d.ctx.Err() != nil {
			return
		}
		if err != nil {
			d.told(nil, true, err)
			return
		}
		version = l.Version
		d.told(l, true, nil)
	}
	type result struct {
		list *List
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
			return
		}
		if r.err != nil {
			d.told(nil, true, r.err)
			return
		}
		next = call(r.list.Version)
		// An empty answer says nothing, but the first is the answer to the call.
		if first || r.list.Full || len(r.list.Servers) > 0 {
			d.told(r.list, true, nil)
		}
	}
}

// fetch asks for the whole list once.
func (d *discovery) fetch() {
	l, err := d.get("", callGrace)
	if d.ctx.Err() == nil {
		d.told(l, false, err)
	}
}

// whole asks for the whole list, and again if that fails.
func (d *discovery) whole() (l *List, err error) {
	for try := range wholeTries {
		if try > 0 {
			select {
			case <-time.After(wholePause):
			case <-d.ctx.Done():
			}
		}
		if l, err = d.get("", callGrace); err == nil && l.Full {
			return l, nil
		}
		if err == nil {
			err = errors.New("discovery: not the whole list")
		}
	}
	return nil, err
}

func (d *discovery) get(query string, within time.Duration) (*List, error) {
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
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxList))
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("discovery: answered %d", resp.StatusCode)
	}
	var l List
	if err := json.Unmarshal(text, &l); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	return &l, nil
}

// table holds the backends that discovery listed, by id and by the module's
// name for them. It belongs to the loop.
type table struct {
	zones, kinds map[string]int
	byID         map[string]*backend
	byAddr       map[policy.Addr]*backend
}

func newTable(zones, kinds []string) *table {
	index := func(names []string) map[string]int {
		m := map[string]int{}
		for i, n := range names {
			m[n] = i
		}
		return m
	}
	return &table{zones: index(zones), kinds: index(kinds),
		byID: map[string]*backend{}, byAddr: map[policy.Addr]*backend{}}
}

// backend finds or makes the entry of an id. The module's name comes from the
// id, not from the address: addresses differ from one agent to the next, and the
// agents must agree on the order of servers for a key without talking.
func (t *table) backend(id string) *backend {
	if b := t.byID[id]; b != nil {
		return b
	}
	b := &backend{id: id}
	h := hashString(id)
	for {
		for i := range b.name {
			b.name[i] = byte(h >> (8 * i))
		}
		if t.byAddr[b.name] == nil {
			break
		}
		h++ // two ids of one hash: the later takes the next free name
	}
	t.byID[id], t.byAddr[b.name] = b, b
	return b
}

// apply takes a list into the table and returns the module's entries, the backends
// whose idle connections are of no more use, and those gone.
func (t *table) apply(l *List, full bool) (entries []policy.Entry, stale, gone []*backend) {
	named := make(map[string]bool, len(l.Servers))
	for i := range l.Servers {
		s := &l.Servers[i]
		if s.ID == "" {
			continue
		}
		named[s.ID] = true
		e := policy.Entry{Zone: len(t.zones), Kind: len(t.kinds), Cell: s.Cell, SinceMs: s.StartedMs, Weight: s.Weight}
		if z, ok := t.zones[s.Zone]; ok {
			e.Zone = z
		}
		if k, ok := t.kinds[s.Kind]; ok {
			e.Kind = k
		}
		switch s.State {
		case "up":
			e.Health = policy.Ready
		case "removed":
			e.Health = policy.Gone
		default: // draining, and whatever else is not said to be up
			e.Health = policy.Draining
		}
		b := t.backend(s.ID)
		e.Server = b.name
		if s.Addr != "" && b.addr != s.Addr {
			stale = append(stale, b)
			b.addr = s.Addr
		}
		if b.closed.Store(e.Health != policy.Ready); e.Health != policy.Ready {
			stale = append(stale, b)
		}
		if b.gone = e.Health == policy.Gone; b.gone {
			gone = append(gone, b)
		}
		entries = append(entries, e)
	}
	if full {
		for id, b := range t.byID {
			if !named[id] {
				b.closed.Store(true)
				b.gone = true
				stale, gone = append(stale, b), append(gone, b)
			}
		}
	}
	return entries, stale, gone
}

// forget drops backends that are gone and have no attempt out; the module has
// forgotten them by then.
func (t *table) forget(b *backend) {
	if b.gone && b.out == 0 && t.byID[b.id] == b {
		delete(t.byID, b.id)
		delete(t.byAddr, b.name)
	}
}

// usable tells whether any backend may be sent to.
func (t *table) usable() bool {
	for _, b := range t.byID {
		if !b.closed.Load() {
			return true
		}
	}
	return false
}
