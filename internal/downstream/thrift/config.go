// Package thrift is the front that speaks Thrift: it turns a client's messages into calls of the core and
// each call's one answer into a reply, framed or not, binary or compact. It knows no IDL: a table tells
// what a method is. It decides nothing.
package thrift

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"ringtrack.example/ringtrack/internal/thriftwire"
	upstream "ringtrack.example/ringtrack/internal/upstream/thrift"
	"ringtrack.example/ringtrack/policy"
)

// Config is what deploy/thrift.toml says. Keys, units and defaults are on the operators' page.
type Config struct {
	Listen     string         `toml:"listen"`
	FrameLimit int            `toml:"frame_limit"`
	DepthLimit int            `toml:"depth_limit"`
	Unlisted   string         `toml:"unlisted"` // "unsafe" or "refuse"
	Class      string         `toml:"class"`    // of unlisted methods; an unsafe one
	DeadlineMs float64        `toml:"deadline_ms"`
	Method     []MethodConfig `toml:"method"`
}

// MethodConfig is one line of the table.
type MethodConfig struct {
	Name       string  `toml:"name"` // "method", "Service:method" or "Service:*"
	Class      string  `toml:"class"`
	Key        string  `toml:"key"`      // path of the field with the affinity key
	Deadline   string  `toml:"deadline"` // path of an integer field with the client's time in ms
	DeadlineMs float64 `toml:"deadline_ms"`
	Oneway     bool    `toml:"oneway"` // nobody waits for an answer, though the message says CALL
	NeverRan   struct {
		Exceptions []int16 `toml:"exceptions"`
		Codes      []int32 `toml:"codes"`
	} `toml:"never_ran"`
}

// Table tells what methods are. It is never changed once made.
type Table struct {
	methods  map[string]*method
	unlisted *method // nil: what is not listed is refused
	paths    []thriftwire.Path
}

// method is what is done with a call.
type method struct {
	class      int
	key        int // place of its path in the reader's; -1: none
	deadline   int
	deadlineMs float64
	oneway     bool
	neverRan   upstream.NeverRan
}

const (
	// maxDeadlineMs bounds the time that a client may give, in ms.
	maxDeadlineMs = 60_000
	// maxMethods bounds the table.
	maxMethods = 10_000
)

// Load reads a file; an error names the key.
func Load(file string) (*Config, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("thrift: %w", err)
	}
	c := &Config{FrameLimit: 16 << 20, DepthLimit: 64, Unlisted: "unsafe"}
	d := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := d.Decode(c); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) && len(strict.Errors) > 0 {
			return nil, fmt.Errorf("thrift: %s: unknown: %s", file, strings.Join(strict.Errors[0].Key(), "."))
		}
		return nil, fmt.Errorf("thrift: %s: %w", file, err)
	}
	return c, nil
}

// Table checks the configuration against the settings' classes and makes the table. An error names the
// key.
func (c *Config) Table(classes []policy.Class) (*Table, error) {
	if _, port, err := net.SplitHostPort(c.Listen); err != nil || port == "" {
		return nil, fmt.Errorf("thrift: listen: %q is no host:port", c.Listen)
	}
	switch {
	case c.FrameLimit < 1024 || c.FrameLimit > 256<<20:
		return nil, fmt.Errorf("thrift: frame_limit: must be 1024 to %d bytes, is %d", 256<<20, c.FrameLimit)
	case c.DepthLimit < 4 || c.DepthLimit > 1000:
		return nil, fmt.Errorf("thrift: depth_limit: must be 4 to 1000, is %d", c.DepthLimit)
	case c.Unlisted != "unsafe" && c.Unlisted != "refuse":
		return nil, fmt.Errorf("thrift: unlisted: %q is neither \"unsafe\" nor \"refuse\"", c.Unlisted)
	case len(c.Method) > maxMethods:
		return nil, fmt.Errorf("thrift: method: %d are listed, at most %d", len(c.Method), maxMethods)
	}
	t := &Table{methods: map[string]*method{}}
	find := func(at, name string) (int, error) {
		for i := range classes {
			if classes[i].Name == name {
				return i, nil
			}
		}
		return 0, fmt.Errorf("thrift: %s: the settings have no class %q", at, name)
	}
	deadline := func(at string, ms float64, class int) (float64, error) {
		if ms == 0 {
			ms = c.DeadlineMs
		}
		if ms == 0 {
			ms = classes[class].ClientTimeoutMs
		}
		if !(ms >= 1 && ms <= maxDeadlineMs) {
			return 0, fmt.Errorf("thrift: %s: must be 1 to %d ms, is %v", at, maxDeadlineMs, ms)
		}
		return ms, nil
	}
	if c.Unlisted == "unsafe" {
		i, err := find("class", c.Class)
		if err != nil {
			return nil, err
		}
		if classes[i].Effect != policy.NonIdempotent {
			return nil, fmt.Errorf("thrift: class: %q may run twice: what is not listed is taken as unsafe", c.Class)
		}
		t.unlisted = &method{class: i, key: -1, deadline: -1}
		if t.unlisted.deadlineMs, err = deadline("deadline_ms", 0, i); err != nil {
			return nil, err
		}
	}
	for i := range c.Method {
		m := &c.Method[i]
		at := func(key string) string { return fmt.Sprintf("method[%d].%s", i, key) }
		if m.Name == "" || len(m.Name) > thriftwire.MaxName || t.methods[m.Name] != nil {
			return nil, fmt.Errorf("thrift: %s: %q is empty, too long or listed before", at("name"), m.Name)
		}
		class, err := find(at("class"), m.Class)
		if err != nil {
			return nil, err
		}
		out := &method{class: class, oneway: m.Oneway, neverRan: upstream.NeverRan{Exceptions: m.NeverRan.Exceptions, Codes: m.NeverRan.Codes}}
		if out.deadlineMs, err = deadline(at("deadline_ms"), m.DeadlineMs, class); err != nil {
			return nil, err
		}
		if out.key, err = t.pathIndex(at("key"), m.Key); err != nil {
			return nil, err
		}
		if out.deadline, err = t.pathIndex(at("deadline"), m.Deadline); err != nil {
			return nil, err
		}
		t.methods[m.Name] = out
	}
	return t, nil
}

// pathIndex finds or adds a path to those that the reader looks for, and returns its place.
func (t *Table) pathIndex(at, text string) (int, error) {
	if text == "" {
		return -1, nil
	}
	var p thriftwire.Path
	for part := range strings.SplitSeq(text, ".") {
		id, err := strconv.ParseInt(part, 10, 16)
		if err != nil {
			return 0, fmt.Errorf("thrift: %s: %q is no path of field ids such as 1.3", at, text)
		}
		p = append(p, int16(id))
	}
	if len(p) > thriftwire.MaxPath {
		return 0, fmt.Errorf("thrift: %s: %q is longer than %d ids", at, text, thriftwire.MaxPath)
	}
	for i, q := range t.paths {
		if fmt.Sprint(p) == fmt.Sprint(q) {
			return i, nil
		}
	}
	if len(t.paths) >= thriftwire.MaxFields {
		return 0, fmt.Errorf("thrift: %s: more than %d different paths", at, thriftwire.MaxFields)
	}
	t.paths = append(t.paths, p)
	return len(t.paths) - 1, nil
}

// find tells what a method is: by its whole name, by its service, or as one that is not listed. nil: it
// is refused.
func (t *Table) find(name []byte) *method {
	if m := t.methods[string(name)]; m != nil {
		return m
	}
	if i := bytes.IndexByte(name, ':'); i >= 0 {
		if m := t.methods[string(name[:i])+":*"]; m != nil {
			return m
		}
		if m := t.methods[string(name[i+1:])]; m != nil {
			return m
		}
	}
	return t.unlisted
}
