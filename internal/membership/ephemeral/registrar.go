package ephemeral

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"strings"
	"sync"

	"ringtrack.example/ringtrack/internal/membership"
)

// RegisterConfig describes the node that this process registers.
type RegisterConfig struct {
	ID     string  `toml:"id"` // name of the node; empty: no node is registered
	Addr   string  `toml:"addr"`
	Zone   string  `toml:"zone"`
	Kind   string  `toml:"kind"`
	Weight float64 `toml:"weight"`
}

// entry returns the initial entry of the node.
func (c *RegisterConfig) entry() membership.Entry {
	return membership.Entry{
		ID:     c.ID,
		Addr:   c.Addr,
		Zone:   c.Zone,
		Kind:   c.Kind,
		State:  membership.Up,
		Weight: c.Weight,
	}
}

// nodeData is the data of a registered node.
type nodeData struct {
	membership.Entry
	Instance string `json:"instance"` // identifies the process that registered it
}

// Registrar registers this process as one ephemeral node. The node exists while the process runs and its
// session is alive; it is created again after the session has expired, and deleted at once when Run ends. The
// name of the node is fixed, so two of them never exist. If another process has registered a node of
// that name, that node is left unchanged and reported.
type Registrar struct {
	cfg      *Config
	path     string
	instance string

	mu      sync.Mutex
	entry   membership.Entry
	version uint64 // of entry
}

// NewRegistrar returns a Registrar for cfg.Register. Check must have accepted cfg.
func NewRegistrar(cfg *Config) *Registrar {
	return &Registrar{
		cfg:      cfg,
		path:     strings.TrimSuffix(cfg.root(), "/") + "/" + cfg.Register.ID,
		instance: rand.Text(),
		entry:    cfg.Register.entry(),
	}
}

// Set changes the data of the node, such as its state, except the id. It may be called from any goroutine;
// the node is written at the next retry.
func (r *Registrar) Set(change func(*membership.Entry)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.entry)
	r.entry.ID = r.cfg.Register.ID
	r.version++
}

// data returns the data of the node and its version.
func (r *Registrar) data() ([]byte, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, _ := json.Marshal(nodeData{r.entry, r.instance})
	return b, r.version
}

// Run maintains the node until ctx ends, then closes the session, which deletes the node. It calls onProblem
// with problems for the log.
func (r *Registrar) Run(ctx context.Context, onProblem func(problem string)) {
	g := &registration{registrar: r, onProblem: onProblem}
	g.session = r.cfg.newSession(g)
	g.session.readOnly = false
	g.session.run(ctx)
}
