package acceptance

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"ringtrack.example/ringtrack/internal/lab/zk"
	"ringtrack.example/ringtrack/internal/membership"
)

// registry is a stand-in for the registry of servers' ephemeral nodes, and the configuration file that names
// it.
type registry struct {
	*zk.Ensemble
	file string
}

// newRegistry starts a registry; more is appended to its configuration file.
func newRegistry(servers int, seed uint64, more string) (*registry, error) {
	e, err := zk.New(zk.Options{Servers: servers, Seed: seed})
	if err != nil {
		return nil, err
	}
	r := &registry{Ensemble: e}
	f, err := os.CreateTemp("", "ephemeral-*.toml")
	if err != nil {
		e.Close()
		return nil, err
	}
	r.file = f.Name()
	_, err = fmt.Fprintf(f, "ensemble = [\"%s\"]\npath = \"/fleet\"\nsession_ms = 3000\n%s", strings.Join(e.Addrs(), `", "`), more)
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err != nil {
		r.close()
		return nil, err
	}
	e.Put("/fleet", nil, 0)
	return r, nil
}

func (r *registry) close() {
	r.Close()
	os.Remove(r.file)
}

func (r *registry) put(e *membership.Entry) {
	data, _ := json.Marshal(e)
	r.Put("/fleet/"+e.ID, data, 0)
}

func (r *registry) remove(id string) { r.Remove("/fleet/" + id) }
