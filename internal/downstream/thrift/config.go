// Package thrift is the downstream for Thrift clients, with the framed and unframed transports and the binary
// and compact protocols. It turns messages into calls of the core, and writes the one answer to each call. It
// works without an IDL: a table configures how the calls of each method are handled. All other decisions are
// those of the core.
package thrift

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Defaults of Config.
const (
	defaultFrameLimit = 16 << 20
	defaultDepthLimit = 64
)

// Values of Config.Unlisted: how methods that are not listed are handled.
const (
	unlistedUnsafe = "unsafe" // they are forwarded as not idempotent
	unlistedRefuse = "refuse" // they are rejected
)

// Config is a configuration file such as deploy/thrift.toml. docs/operators/thrift.md documents the units and
// defaults of all keys.
type Config struct {
	Listen     string         `toml:"listen"`
	FrameLimit int            `toml:"frame_limit"` // bytes
	DepthLimit int            `toml:"depth_limit"`
	Unlisted   string         `toml:"unlisted"`
	Class      string         `toml:"class"` // of methods that are not listed; it must not be idempotent
	DeadlineMs float64        `toml:"deadline_ms"`
	Method     []MethodConfig `toml:"method"`
}

// MethodConfig configures one method, or all methods of a service.
type MethodConfig struct {
	Name       string  `toml:"name"` // "method", "Service:method" or "Service:*"
	Class      string  `toml:"class"`
	Key        string  `toml:"key"`      // path of the field with the affinity key
	Deadline   string  `toml:"deadline"` // path of an integer field with the client's timeout in ms
	DeadlineMs float64 `toml:"deadline_ms"`
	OneWay     bool    `toml:"oneway"` // there is no reply, even if the message is a call
	NeverRan   struct {
		Exceptions []int16 `toml:"exceptions"`
		Codes      []int32 `toml:"codes"`
	} `toml:"never_ran"`
}

// Load reads a configuration file. An error names the key.
func Load(file string) (*Config, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("thrift: %w", err)
	}
	c := &Config{FrameLimit: defaultFrameLimit, DepthLimit: defaultDepthLimit, Unlisted: unlistedUnsafe}
	err = toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(c)
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		return nil, fmt.Errorf("thrift: %s: unknown: %s", file, strings.Join(unknown.Errors[0].Key(), "."))
	}
	if err != nil {
		return nil, fmt.Errorf("thrift: %s: %w", file, err)
	}
	return c, nil
}
