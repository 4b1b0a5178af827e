package thrift

import (
	"bytes"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"

	"ringtrack.example/ringtrack/internal/thriftwire"
	upstream "ringtrack.example/ringtrack/internal/upstream/thrift"
	"ringtrack.example/ringtrack/policy"
)

const (
	// maxDeadlineMs bounds the timeout that a client may set.
	maxDeadlineMs = 60_000
	// maxMethods bounds the number of methods in the table.
	maxMethods = 10_000

	minFrameLimit = 1024
	maxFrameLimit = 256 << 20
	minDepthLimit = 4
	maxDepthLimit = 1000
)

// noPath is the index of a path that is not configured.
const noPath = -1

// Table maps methods to the way their calls are handled. It is immutable.
type Table struct {
	methods  map[string]*method
	unlisted *method // for methods that are not listed; nil: they are rejected
	paths    []thriftwire.Path
}

// method is how the calls of a method are handled.
type method struct {
	class      int
	key        int // index in Table.paths of the affinity key's path, or noPath
	deadline   int // index in Table.paths of the path of the client's timeout, or noPath
	deadlineMs float64
	oneWay     bool
	neverRan   upstream.NeverRan
}

// timeoutMs returns the timeout of a call: the value of the configured field if that is valid, else the
// method's.
func (m *method) timeoutMs(head *thriftwire.Message) float64 {
	if m.deadline != noPath {
		field := head.Fields[m.deadline]
		if ms := int64(field.Int); field.Found && ms >= 1 && ms <= maxDeadlineMs {
			return float64(ms)
		}
	}
	return m.deadlineMs
}

// Table validates the configuration, also against the classes of the settings, and returns the table. An
// error names the key.
func (c *Config) Table(classes []policy.Class) (*Table, error) {
	if err := c.checkLimits(); err != nil {
		return nil, err
	}
	t := &Table{methods: map[string]*method{}}
	if c.Unlisted == unlistedUnsafe {
		unlisted, err := c.unlistedMethod(classes)
		if err != nil {
			return nil, err
		}
		t.unlisted = unlisted
	}
	for i := range c.Method {
		if err := t.add(c, i, classes); err != nil {
			return nil, err
		}
	}
	return t, nil
}

func (c *Config) checkLimits() error {
	if _, port, err := net.SplitHostPort(c.Listen); err != nil || port == "" {
		return fmt.Errorf("thrift: listen: %q is not host:port", c.Listen)
	}
	switch {
	case c.FrameLimit < minFrameLimit || c.FrameLimit > maxFrameLimit:
		return fmt.Errorf("thrift: frame_limit: must be %d to %d bytes, is %d", minFrameLimit, maxFrameLimit, c.FrameLimit)
	case c.DepthLimit < minDepthLimit || c.DepthLimit > maxDepthLimit:
		return fmt.Errorf("thrift: depth_limit: must be %d to %d, is %d", minDepthLimit, maxDepthLimit, c.DepthLimit)
	case c.Unlisted != unlistedUnsafe && c.Unlisted != unlistedRefuse:
		return fmt.Errorf("thrift: unlisted: %q is neither %q nor %q", c.Unlisted, unlistedUnsafe, unlistedRefuse)
	case len(c.Method) > maxMethods:
		return fmt.Errorf("thrift: method: %d are listed, at most %d", len(c.Method), maxMethods)
	}
	return nil
}

// unlistedMethod returns the entry for methods that are not listed, which are treated as not idempotent.
func (c *Config) unlistedMethod(classes []policy.Class) (*method, error) {
	class, err := findClass(classes, "class", c.Class)
	if err != nil {
		return nil, err
	}
	if classes[class].Effect != policy.NonIdempotent {
		return nil, fmt.Errorf("thrift: class: %q may run twice, but methods that are not listed are treated as unsafe", c.Class)
	}
	deadlineMs, err := c.deadlineMs("deadline_ms", 0, &classes[class])
	if err != nil {
		return nil, err
	}
	return &method{class: class, key: noPath, deadline: noPath, deadlineMs: deadlineMs}, nil
}

// add adds the method with index i in the configuration.
func (t *Table) add(c *Config, i int, classes []policy.Class) error {
	entry := &c.Method[i]
	keyOf := func(key string) string { return fmt.Sprintf("method[%d].%s", i, key) }
	if entry.Name == "" || len(entry.Name) > thriftwire.MaxName || t.methods[entry.Name] != nil {
		return fmt.Errorf("thrift: %s: %q is empty, too long or listed twice", keyOf("name"), entry.Name)
	}
	class, err := findClass(classes, keyOf("class"), entry.Class)
	if err != nil {
		return err
	}
	m := &method{
		class:    class,
		oneWay:   entry.OneWay,
		neverRan: upstream.NeverRan{Exceptions: entry.NeverRan.Exceptions, Codes: entry.NeverRan.Codes},
	}
	if m.deadlineMs, err = c.deadlineMs(keyOf("deadline_ms"), entry.DeadlineMs, &classes[class]); err != nil {
		return err
	}
	if m.key, err = t.pathIndex(keyOf("key"), entry.Key); err != nil {
		return err
	}
	if m.deadline, err = t.pathIndex(keyOf("deadline"), entry.Deadline); err != nil {
		return err
	}
	t.methods[entry.Name] = m
	return nil
}

// findClass returns the index of the class with a name.
func findClass(classes []policy.Class, key, name string) (int, error) {
	i := slices.IndexFunc(classes, func(class policy.Class) bool { return class.Name == name })
	if i < 0 {
		return 0, fmt.Errorf("thrift: %s: the settings have no class %q", key, name)
	}
	return i, nil
}

// deadlineMs returns the timeout of a method: ms, else the configuration's default, else that of the class.
func (c *Config) deadlineMs(key string, ms float64, class *policy.Class) (float64, error) {
	if ms == 0 {
		ms = c.DeadlineMs
	}
	if ms == 0 {
		ms = class.ClientTimeoutMs
	}
	if !(ms >= 1 && ms <= maxDeadlineMs) { // NaN fails too
		return 0, fmt.Errorf("thrift: %s: must be 1 to %d ms, is %v", key, maxDeadlineMs, ms)
	}
	return ms, nil
}

// pathIndex parses a path of field ids and returns its index in paths, adding it if it is new. It returns
// noPath for "".
func (t *Table) pathIndex(key, text string) (int, error) {
	if text == "" {
		return noPath, nil
	}
	var path thriftwire.Path
	for part := range strings.SplitSeq(text, ".") {
		id, err := strconv.ParseInt(part, 10, 16)
		if err != nil {
			return 0, fmt.Errorf("thrift: %s: %q is not a path of field ids such as 1.3", key, text)
		}
		path = append(path, int16(id))
	}
	if len(path) > thriftwire.MaxPath {
		return 0, fmt.Errorf("thrift: %s: %q is longer than %d ids", key, text, thriftwire.MaxPath)
	}
	known := slices.IndexFunc(t.paths, func(other thriftwire.Path) bool { return slices.Equal(other, path) })
	if known >= 0 {
		return known, nil
	}
	if len(t.paths) >= thriftwire.MaxFields {
		return 0, fmt.Errorf("thrift: %s: more than %d different paths", key, thriftwire.MaxFields)
	}
	t.paths = append(t.paths, path)
	return len(t.paths) - 1, nil
}

// find returns the entry for a method: that of its complete name, else of its service, else of its name
// without the service, else the one for methods that are not listed. nil: the method is rejected.
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
