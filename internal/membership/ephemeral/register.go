package ephemeral

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"strings"
	"sync"

	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/internal/zkwire"
)

// Register says what node a process keeps for itself.
type Register struct {
	ID     string  `toml:"id"` // the node's name; "": none is kept
	Addr   string  `toml:"addr"`
	Zone   string  `toml:"zone"`
	Kind   string  `toml:"kind"`
	Weight float64 `toml:"weight"`
}

// registration is a node's data: the roster's fields, and which process wrote it.
type registration struct {
	membership.Entry
	Instance string `json:"instance"`
}

// Registrar keeps one ephemeral node for this process: there while the process lives and its session does,
// made again when the session has expired, and gone at once when Run ends. Its name is fixed, so that there
// are never two of them; a node of that name that another process wrote is left alone, and said.
type Registrar struct {
	cfg      *Config
	path     string
	instance string

	mu     sync.Mutex
	entry  membership.Entry
	change uint64 // counts Set
}

// NewRegistrar returns one for cfg.Register; the configuration was checked. The process counts as started
// where the entry's start is not set by Set.
func NewRegistrar(cfg *Config) *Registrar {
	r := &Registrar{cfg: cfg, path: strings.TrimSuffix(cfg.root(), "/") + "/" + cfg.Register.ID, instance: rand.Text()}
	g := &cfg.Register
	r.entry = membership.Entry{ID: g.ID, Addr: g.Addr, Zone: g.Zone, Kind: g.Kind, State: membership.Up, Weight: g.Weight}
	return r
}

// Set changes what the node says, such as that its process drains. The id stays.
func (r *Registrar) Set(change func(*membership.Entry)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.entry)
	r.entry.ID = r.cfg.Register.ID
	r.change++
}

func (r *Registrar) data() ([]byte, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, _ := json.Marshal(registration{r.entry, r.instance})
	return b, r.change
}

// Run keeps the node until ctx ends, then closes the session, which takes the node away at once. told is
// called with what a person should know.
func (r *Registrar) Run(ctx context.Context, told func(problem string)) {
	k := &keeper{r: r, told: told}
	k.s = r.cfg.session(k)
	k.s.readOnly = false
	k.s.run(ctx)
}

// keeper is the session's handler that keeps the node. Its steps: make the parents and the node; where
// there is one already, see whose it is.
type keeper struct {
	r     *Registrar
	s     *session
	told  func(string)
	queue []request
	busy  bool   // a step is out
	there bool   // the node is ours, in this session
	wrote uint64 // the change that it says
	said  string
}

func (k *keeper) connected(renewed bool, _ int64) {
	k.queue, k.busy = nil, false
	if !renewed {
		k.there = false
	}
	k.step()
}

func (k *keeper) next() (request, bool) {
	if len(k.queue) == 0 {
		return request{}, false
	}
	q := k.queue[0]
	k.queue = k.queue[1:]
	return q, true
}

func (k *keeper) event(e zkwire.WatchEvent) {
	if e.Path == k.r.path && e.Type == zkwire.NodeDeleted {
		k.there = false
		k.step()
	}
}
func (k *keeper) retry()      { k.step() }
func (k *keeper) flush()      {}
func (k *keeper) alive()      {}
func (k *keeper) ended() bool { return false }
func (k *keeper) lost(err error) {
	k.say(err.Error())
}

func (k *keeper) say(problem string) {
	if problem != k.said {
		k.said = problem
		if problem != "" {
			k.told(problem)
		}
	}
}

// step asks for what is to be done next, if nothing is out.
func (k *keeper) step() {
	if k.busy {
		return
	}
	data, change := k.r.data()
	switch {
	case !k.there:
		k.create(data, change)
	case change != k.wrote:
		k.ask(zkwire.OpSetData, func(b []byte) []byte {
			return zkwire.AppendInt(zkwire.AppendBuffer(zkwire.AppendString(b, k.r.path), data), -1)
		}, func(code zkwire.Code, _ *zkwire.Reader) {
			switch code {
			case zkwire.OK:
				k.wrote = change
			case zkwire.NoNode:
				k.there = false
				k.step()
			default:
				k.say(fmt.Sprintf("%s: %v", k.r.path, code))
			}
		})
	}
}

// ask sends one step; the next waits for its reply.
func (k *keeper) ask(op zkwire.Op, body func([]byte) []byte, then func(zkwire.Code, *zkwire.Reader)) {
	k.busy = true
	k.queue = append(k.queue, request{op: op, body: body, done: func(h zkwire.ReplyHeader, r *zkwire.Reader) error {
		k.busy = false
		then(h.Err, r)
		return nil
	}})
}

func (k *keeper) acl() []zkwire.ACL {
	if k.r.cfg.Auth == "" {
		return zkwire.OpenACL
	}
	return []zkwire.ACL{{Perms: zkwire.PermAll, Scheme: "auth"}, {Perms: zkwire.PermRead, Scheme: "world", ID: "anyone"}}
}

func (k *keeper) createBody(path string, data []byte, flags int32) func([]byte) []byte {
	return func(b []byte) []byte {
		b = zkwire.AppendBuffer(zkwire.AppendString(b, path), data)
		return zkwire.AppendInt(zkwire.AppendACLs(b, k.acl()), flags)
	}
}

func (k *keeper) create(data []byte, change uint64) {
	k.ask(zkwire.OpCreate, k.createBody(k.r.path, data, zkwire.FlagEphemeral), func(code zkwire.Code, _ *zkwire.Reader) {
		switch code {
		case zkwire.OK:
			k.ours(change)
		case zkwire.NodeExists:
			k.look(data, change)
		case zkwire.NoNode:
			k.parents()
		default:
			k.say(fmt.Sprintf("%s: %v", k.r.path, code))
		}
	})
}

// ours notes that the node is there, and watches that it stays.
func (k *keeper) ours(change uint64) {
	k.there, k.wrote = true, change
	k.say("")
	k.ask(zkwire.OpExists, func(b []byte) []byte { return zkwire.AppendBool(zkwire.AppendString(b, k.r.path), true) },
		func(code zkwire.Code, _ *zkwire.Reader) {
			if code == zkwire.NoNode {
				k.there = false
			}
			k.step()
		})
}

// look sees whose the node is that is there: of this session (its reply was lost), of an older one of this
// process (it is put in its place in one transaction, so that nobody else takes the name meanwhile), or of
// another process.
func (k *keeper) look(data []byte, change uint64) {
	session := k.s.id
	k.ask(zkwire.OpGetData, func(b []byte) []byte { return zkwire.AppendBool(zkwire.AppendString(b, k.r.path), false) },
		func(code zkwire.Code, r *zkwire.Reader) {
			if code != zkwire.OK {
				return // it went meanwhile; asked again at the next retry
			}
			var was registration
			_ = json.Unmarshal(r.Buffer(), &was)
			stat := r.Stat()
			switch {
			case r.Err() != nil:
			case stat.Owner == session:
				k.wrote = change - 1 // it may say what was so before
				k.ours(change - 1)
			case was.Instance == k.r.instance:
				k.replace(data, change, stat.Version)
			default:
				k.say(fmt.Sprintf("%s: is another process's, session %#x: left alone", k.r.path, stat.Owner))
			}
		})
}

func (k *keeper) replace(data []byte, change uint64, version int32) {
	k.ask(zkwire.OpMulti, func(b []byte) []byte {
		b = zkwire.MultiHeader{Type: zkwire.OpDelete, Err: -1}.Append(b)
		b = zkwire.AppendInt(zkwire.AppendString(b, k.r.path), version)
		b = zkwire.MultiHeader{Type: zkwire.OpCreate, Err: -1}.Append(b)
		b = k.createBody(k.r.path, data, zkwire.FlagEphemeral)(b)
		return zkwire.MultiHeader{Type: zkwire.OpError, Done: true, Err: -1}.Append(b)
	}, func(code zkwire.Code, r *zkwire.Reader) {
		if h := r.MultiHeader(); code == zkwire.OK && r.Err() == nil && h.Type != zkwire.OpError {
			// The rest is what was made; nothing of it is wanted.
			k.ours(change)
		}
	})
}

// parents makes the directories above the node, one behind the other.
func (k *keeper) parents() {
	var dirs []string
	for p := k.r.path; ; {
		i := strings.LastIndexByte(p, '/')
		if i <= 0 {
			break
		}
		p = p[:i]
		dirs = append(dirs, p)
	}
	for i := len(dirs) - 1; i >= 0; i-- {
		p, last := dirs[i], i == 0
		k.ask(zkwire.OpCreate, k.createBody(p, []byte{}, 0), func(code zkwire.Code, _ *zkwire.Reader) {
			if code != zkwire.OK && code != zkwire.NodeExists {
				k.say(fmt.Sprintf("%s: %v", p, code))
				return
			}
			if last {
				k.step()
			} else {
				k.busy = true
			}
		})
	}
}
