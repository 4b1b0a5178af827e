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

// RegisterConfig says what node a process keeps for itself.
type RegisterConfig struct {
	ID     string  `toml:"id"` // the node's name; "": none is kept
	Addr   string  `toml:"addr"`
	Zone   string  `toml:"zone"`
	Kind   string  `toml:"kind"`
	Weight float64 `toml:"weight"`
}

// registrationData is a node's data: the roster's fields, and which process wrote it.
type registrationData struct {
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

	mu      sync.Mutex
	entry   membership.Entry
	version uint64 // counts Set
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
	r.version++
}

func (r *Registrar) data() ([]byte, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, _ := json.Marshal(registrationData{r.entry, r.instance})
	return b, r.version
}

// Run keeps the node until ctx ends, then closes the session, which takes the node away at once. told is
// called with what a person should know.
func (r *Registrar) Run(ctx context.Context, told func(problem string)) {
	k := &registration{registrar: r, onProblem: told}
	k.session = r.cfg.session(k)
	k.session.readOnly = false
	k.session.run(ctx)
}

// registration is the session's handler that keeps the node. Its steps: make the parents and the node; where
// there is one already, see whose it is.
type registration struct {
	registrar      *Registrar
	session        *session
	onProblem      func(string)
	queue          []request
	inFlight       bool   // a step is out
	exists         bool   // the node is ours, in this session
	writtenVersion uint64 // the change that it says
	lastProblem    string
}

func (k *registration) connected(renewed bool, _ int64) {
	k.queue, k.inFlight = nil, false
	if !renewed {
		k.exists = false
	}
	k.step()
}

func (k *registration) nextRequest() (request, bool) {
	if len(k.queue) == 0 {
		return request{}, false
	}
	q := k.queue[0]
	k.queue = k.queue[1:]
	return q, true
}

func (k *registration) handleEvent(e zkwire.WatchEvent) {
	if e.Path == k.registrar.path && e.Type == zkwire.NodeDeleted {
		k.exists = false
		k.step()
	}
}
func (k *registration) retry()         { k.step() }
func (k *registration) flush()         {}
func (k *registration) replyReceived() {}
func (k *registration) finished() bool { return false }
func (k *registration) connectionLost(err error) {
	k.report(err.Error())
}

func (k *registration) report(problem string) {
	if problem != k.lastProblem {
		k.lastProblem = problem
		if problem != "" {
			k.onProblem(problem)
		}
	}
}

// step asks for what is to be done next, if nothing is out.
func (k *registration) step() {
	if k.inFlight {
		return
	}
	data, change := k.registrar.data()
	switch {
	case !k.exists:
		k.create(data, change)
	case change != k.writtenVersion:
		k.enqueue(zkwire.OpSetData, func(b []byte) []byte {
			return zkwire.AppendInt(zkwire.AppendBuffer(zkwire.AppendString(b, k.registrar.path), data), -1)
		}, func(code zkwire.Code, _ *zkwire.Reader) {
			switch code {
			case zkwire.OK:
				k.writtenVersion = change
			case zkwire.NoNode:
				k.exists = false
				k.step()
			default:
				k.report(fmt.Sprintf("%s: %v", k.registrar.path, code))
			}
		})
	}
}

// enqueue sends one step; the next waits for its reply.
func (k *registration) enqueue(op zkwire.Op, body func([]byte) []byte, then func(zkwire.Code, *zkwire.Reader)) {
	k.inFlight = true
	k.queue = append(k.queue, request{op: op, body: body, onReply: func(h zkwire.ReplyHeader, r *zkwire.Reader) error {
		k.inFlight = false
		then(h.Err, r)
		return nil
	}})
}

func (k *registration) accessControl() []zkwire.ACL {
	if k.registrar.cfg.Auth == "" {
		return zkwire.OpenACL
	}
	return []zkwire.ACL{{Perms: zkwire.PermAll, Scheme: "auth"}, {Perms: zkwire.PermRead, Scheme: "world", ID: "anyone"}}
}

func (k *registration) createBody(path string, data []byte, flags int32) func([]byte) []byte {
	return func(b []byte) []byte {
		b = zkwire.AppendBuffer(zkwire.AppendString(b, path), data)
		return zkwire.AppendInt(zkwire.AppendACLs(b, k.accessControl()), flags)
	}
}

func (k *registration) create(data []byte, change uint64) {
	k.enqueue(zkwire.OpCreate, k.createBody(k.registrar.path, data, zkwire.FlagEphemeral), func(code zkwire.Code, _ *zkwire.Reader) {
		switch code {
		case zkwire.OK:
			k.nodeOwned(change)
		case zkwire.NodeExists:
			k.inspectExisting(data, change)
		case zkwire.NoNode:
			k.createParents()
		default:
			k.report(fmt.Sprintf("%s: %v", k.registrar.path, code))
		}
	})
}

// nodeOwned notes that the node is there, and watches that it stays.
func (k *registration) nodeOwned(change uint64) {
	k.exists, k.writtenVersion = true, change
	k.report("")
	k.enqueue(zkwire.OpExists, func(b []byte) []byte { return zkwire.AppendBool(zkwire.AppendString(b, k.registrar.path), true) },
		func(code zkwire.Code, _ *zkwire.Reader) {
			if code == zkwire.NoNode {
				k.exists = false
			}
			k.step()
		})
}

// inspectExisting sees whose the node is that is there: of this session (its reply was lost), of an older one of this
// process (it is put in its place in one transaction, so that nobody else takes the name meanwhile), or of
// another process.
func (k *registration) inspectExisting(data []byte, change uint64) {
	session := k.session.id
	k.enqueue(zkwire.OpGetData, func(b []byte) []byte { return zkwire.AppendBool(zkwire.AppendString(b, k.registrar.path), false) },
		func(code zkwire.Code, r *zkwire.Reader) {
			if code != zkwire.OK {
				return // it went meanwhile; asked again at the next retry
			}
			var was registrationData
			_ = json.Unmarshal(r.Buffer(), &was)
			stat := r.Stat()
			switch {
			case r.Err() != nil:
			case stat.EphemeralOwner == session:
				k.writtenVersion = change - 1 // it may say what was so before
				k.nodeOwned(change - 1)
			case was.Instance == k.registrar.instance:
				k.replace(data, change, stat.Version)
			default:
				k.report(fmt.Sprintf("%s: is another process's, session %#x: left alone", k.registrar.path, stat.EphemeralOwner))
			}
		})
}

func (k *registration) replace(data []byte, change uint64, version int32) {
	k.enqueue(zkwire.OpMulti, func(b []byte) []byte {
		b = zkwire.MultiHeader{Type: zkwire.OpDelete, Err: -1}.Append(b)
		b = zkwire.AppendInt(zkwire.AppendString(b, k.registrar.path), version)
		b = zkwire.MultiHeader{Type: zkwire.OpCreate, Err: -1}.Append(b)
		b = k.createBody(k.registrar.path, data, zkwire.FlagEphemeral)(b)
		return zkwire.MultiHeader{Type: zkwire.OpError, Done: true, Err: -1}.Append(b)
	}, func(code zkwire.Code, r *zkwire.Reader) {
		if h := r.MultiHeader(); code == zkwire.OK && r.Err() == nil && h.Type != zkwire.OpError {
			// The rest is what was made; nothing of it is wanted.
			k.nodeOwned(change)
		}
	})
}

// createParents makes the directories above the node, one behind the other.
func (k *registration) createParents() {
	var dirs []string
	for p := k.registrar.path; ; {
		i := strings.LastIndexByte(p, '/')
		if i <= 0 {
			break
		}
		p = p[:i]
		dirs = append(dirs, p)
	}
	for i := len(dirs) - 1; i >= 0; i-- {
		p, last := dirs[i], i == 0
		k.enqueue(zkwire.OpCreate, k.createBody(p, []byte{}, 0), func(code zkwire.Code, _ *zkwire.Reader) {
			if code != zkwire.OK && code != zkwire.NodeExists {
				k.report(fmt.Sprintf("%s: %v", p, code))
				return
			}
			if last {
				k.step()
			} else {
				k.inFlight = true
			}
		})
	}
}
