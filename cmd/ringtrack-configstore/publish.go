package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"ringtrack.example/ringtrack/internal/configstore/client"
	"ringtrack.example/ringtrack/internal/sharedconfig"
)

// publishPollInterval is the interval at which the status is polled until a version is in force.
const publishPollInterval = 100 * time.Millisecond

// publishCommand publishes a version and waits until it is in force.
type publishCommand struct {
	replicas
	File   string        `arg:"" help:"TOML file with the shared configuration."`
	Parent uint64        `required:"" help:"Number of the version that this one follows; 0 for the first version."`
	Author string        `required:"" help:"Author of the version."`
	Reason string        `required:"" help:"Reason for the change."`
	ID     string        `help:"Id of the request; a retry has to use the same id. Random by default."`
	Wait   time.Duration `default:"30s" help:"How long to wait until the version is in force."`
}

// Run publishes the version.
func (c *publishCommand) Run() error {
	config, err := readConfig(c.File)
	if err != nil {
		return err
	}
	if c.ID == "" {
		c.ID = client.NewIncarnation()
	}
	call := &client.PublishRequest{ID: c.ID, Parent: c.Parent, Config: config, Author: c.Author, Reason: c.Reason}
	var published client.PublishResponse
	if err := c.call(client.PathPublish, call, &published); err != nil {
		if !client.IsDefinite(err) {
			return fmt.Errorf("it is unknown whether the version was published; retry with --id %s: %w", c.ID, err)
		}
		return err
	}
	fmt.Printf("published version %d %s\n", published.Number, published.Digest)
	return c.waitUntilInForce(published.Number)
}

// readConfig reads a TOML file and returns the configuration as JSON.
func readConfig(path string) (json.RawMessage, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var config sharedconfig.Config
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&config); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := config.Check(); err != nil {
		return nil, err
	}
	return json.Marshal(&config)
}

// waitUntilInForce waits until all lease holders use the version, and prints who blocks it meanwhile.
func (c *publishCommand) waitUntilInForce(number uint64) error {
	epoch := sharedconfig.EpochOf(number)
	start := time.Now()
	blockedBy := ""
	for deadline := start.Add(c.Wait); time.Now().Before(deadline); time.Sleep(publishPollInterval) {
		s, err := c.leader()
		if err != nil {
			continue
		}
		if s.Epoch >= epoch && len(s.BlockedBy) == 0 {
			fmt.Printf("in force at %d holders after %v\n", len(s.Holders), time.Since(start).Round(time.Millisecond))
			return nil
		}
		if now := strings.Join(s.BlockedBy, ", "); now != blockedBy {
			blockedBy = now
			fmt.Printf("epoch %d of %d; blocked by: %s\n", s.Epoch, epoch, blockedBy)
		}
	}
	return fmt.Errorf("version %d is published but not yet in force everywhere; blocked by: %s", number, blockedBy)
}
