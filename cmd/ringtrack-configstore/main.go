// Command ringtrack-configstore is one keeper of the agreed book of rules, and the operators' calls to all of them. See
// docs/operators/agreed.md.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pelletier/go-toml/v2"

	"ringtrack.example/ringtrack/internal/configstore"
	"ringtrack.example/ringtrack/internal/configstore/client"
	"ringtrack.example/ringtrack/internal/sharedconfig"
)

type commands struct {
	Run     runCommand     `cmd:"" help:"Be a keeper."`
	Publish publishCommand `cmd:"" help:"Publish a new version of the book of rules and wait until it is in force."`
	Show    showCommand    `cmd:"" help:"Show a version."`
	Diff    diffCommand    `cmd:"" help:"Compare two versions."`
	History historyCommand `cmd:"" help:"List versions."`
	Members membersCommand `cmd:"" help:"Show the keepers, add one or remove one."`
	Holders holdersCommand `cmd:"" help:"List who holds a lease, and who holds up the next stage."`
}

// at is where the keepers are.
type at struct {
	Keepers []string `required:"" env:"RINGTRACK_KEEPERS" help:"Addresses of keepers; the first that answers is asked." placeholder:"HOST:PORT"`
}

// call asks one keeper after the other. A call that changes something bears an id, so that asking again is harmless.
func (a *at) call(path string, in, out any) error {
	caller := client.NewCaller()
	var last error
	for _, addr := range a.Keepers {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		last = caller.Call(ctx, addr, path, nil, in, out)
		cancel()
		if f := (*client.StatusError)(nil); last == nil || errors.As(last, &f) && f.Status < 500 {
			return last
		}
	}
	return last
}

type runCommand struct {
	Config string `default:"deploy/keeper.toml" help:"The configuration file."`
	Check  bool   `help:"Check the configuration and end."`
}

func (c *runCommand) Run() error {
	cfg, err := configstore.Load(c.Config)
	if err != nil || c.Check {
		return err
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	return configstore.Run(stop, cfg, func(a net.Addr) { slog.Info("listening", "name", cfg.Name, "addr", a.String()) })
}

type publishCommand struct {
	at
	File   string        `arg:"" help:"TOML file of the book."`
	Parent uint64        `required:"" help:"Number of the version that it follows; 0: it is the first."`
	Author string        `required:"" help:"Who publishes."`
	Reason string        `required:"" help:"Why."`
	ID     string        `help:"The publish's own id; a second try bears the same. Drawn where it is not given."`
	Wait   time.Duration `default:"30s" help:"How long to wait until it is in force."`
}

func (c *publishCommand) Run() error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	var b sharedconfig.Config
	if err := toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields().Decode(&b); err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	if err := b.Check(); err != nil {
		return err
	}
	book, err := json.Marshal(&b)
	if err != nil {
		return err
	}
	if c.ID == "" {
		c.ID = client.NewIncarnation()
	}
	var out client.PublishResponse
	if err := c.call(client.PathPublish, &client.PublishRequest{ID: c.ID, Parent: c.Parent, Config: book, Author: c.Author, Reason: c.Reason}, &out); err != nil {
		if f := (*client.StatusError)(nil); !errors.As(err, &f) || f.Status >= 500 {
			return fmt.Errorf("not known whether it is published; try again with --id %s: %w", c.ID, err)
		}
		return err
	}
	fmt.Printf("version %d %s is published\n", out.Number, out.Digest)
	from, held := time.Now(), ""
	for over := time.Now().Add(c.Wait); time.Now().Before(over); time.Sleep(100 * time.Millisecond) {
		s, err := c.leader()
		if err != nil {
			continue
		}
		if s.Epoch >= sharedconfig.EpochOf(out.Number) && len(s.BlockedBy) == 0 {
			fmt.Printf("in force at %d holders after %v\n", len(s.Holders), time.Since(from).Round(time.Millisecond))
			return nil
		}
		if now := strings.Join(s.BlockedBy, ", "); now != held {
			held = now
			fmt.Printf("stage %d of %d; waits for: %s\n", s.Epoch, sharedconfig.EpochOf(out.Number), now)
		}
	}
	return fmt.Errorf("version %d is published and not yet in force everywhere; waits for: %s", out.Number, held)
}

// leader is the status of the keeper that leads.
func (a *at) leader() (*client.Status, error) {
	caller := client.NewCaller()
	last := errors.New("no keeper leads")
	for _, addr := range a.Keepers {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		s := &client.Status{}
		err := caller.Call(ctx, addr, client.PathStatus, nil, nil, s)
		cancel()
		if err != nil {
			last = err
		} else if s.Leader == s.Name {
			return s, nil
		}
	}
	return nil, last
}

type showCommand struct {
	at
	Number uint64 `arg:"" optional:"" help:"The version; the last where none is given."`
}

func (c *showCommand) Run() error {
	v, err := c.version(c.Number)
	if err != nil {
		return err
	}
	fmt.Printf("# version %d, parent %d, %s, by %s, %s: %s\n", v.Number, v.Parent, v.Digest, v.Author, time.UnixMilli(v.AtMs).UTC().Format(time.RFC3339), v.Reason)
	return toml.NewEncoder(os.Stdout).Encode(v.Config)
}

func (a *at) version(n uint64) (*sharedconfig.Version, error) {
	v := &sharedconfig.Version{}
	if err := a.call(fmt.Sprintf("%s?n=%d", client.PathVersion, n), nil, v); err != nil {
		return nil, err
	}
	if v.Number == 0 {
		return nil, errors.New("nothing is published yet")
	}
	return v, nil
}

type diffCommand struct {
	at
	From uint64 `arg:"" help:"The older version."`
	To   uint64 `arg:"" optional:"" help:"The newer one; the last where none is given."`
}

func (c *diffCommand) Run() error {
	var lines [2][]string
	for i, n := range []uint64{c.From, c.To} {
		v, err := c.version(n)
		if err != nil {
			return err
		}
		text, err := toml.Marshal(v.Config)
		if err != nil {
			return err
		}
		lines[i] = strings.Split(string(text), "\n")
	}
	// Keys and lists come in one order, so a line that is in one only is the difference.
	for i, mark := range []string{"-", "+"} {
		for _, l := range lines[i] {
			if !slices.Contains(lines[1-i], l) {
				fmt.Println(mark, l)
			}
		}
	}
	return nil
}

type historyCommand struct{ at }

func (c *historyCommand) Run() error {
	var h client.HistoryResponse
	if err := c.call(client.PathHistory, nil, &h); err != nil {
		return err
	}
	for _, v := range h.Versions {
		mark := " "
		if v.Number == h.Epoch/2 {
			mark = "*"
		}
		fmt.Printf("%s %d %s %s by %s: %s\n", mark, v.Number, v.Digest, time.UnixMilli(v.AtMs).UTC().Format(time.RFC3339), v.Author, v.Reason)
	}
	if h.Epoch%2 == 1 {
		fmt.Printf("between %d and %d: what both permit is in force\n", h.Epoch/2, h.Epoch/2+1)
	}
	return nil
}

type membersCommand struct {
	at
	Add    string `help:"Name of a keeper to add; it learns first."`
	Addr   string `help:"Its address."`
	Remove string `help:"Name of a keeper to remove."`
}

func (c *membersCommand) Run() error {
	if c.Add != "" || c.Remove != "" {
		return c.call(client.PathMembers, &configstore.MembersRequest{Add: c.Add, Addr: c.Addr, Remove: c.Remove}, nil)
	}
	caller := client.NewCaller()
	for _, addr := range c.Keepers {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		var s client.Status
		err := caller.Call(ctx, addr, client.PathStatus, nil, nil, &s)
		cancel()
		if err != nil {
			fmt.Printf("%s: %v\n", addr, err)
			continue
		}
		fmt.Printf("%s %s: leader %q, term %d, applied %d, stage %d, last version %d, members %s\n", addr, s.Name, s.Leader, s.Term, s.Applied,
			s.Epoch, s.Last, strings.Join(s.Members, ", "))
		for who, why := range s.Unreachable {
			fmt.Printf("  not heard: %s: %s\n", who, why)
		}
	}
	return nil
}

type holdersCommand struct{ at }

func (c *holdersCommand) Run() error {
	s, err := c.leader()
	if err != nil {
		return err
	}
	names := make([]string, 0, len(s.Holders))
	for n := range s.Holders {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		fmt.Printf("%s stage %d\n", n, s.Holders[n])
	}
	for _, h := range s.BlockedBy {
		fmt.Printf("waited for: %s\n", h)
	}
	return nil
}

// description is the first paragraph of the help.
const description = "Keepers of the agreed book of rules."

func main() {
	ctx := kong.Parse(&commands{}, kong.Name("ringtrack-configstore"), kong.Description(description), kong.UsageOnError())
	ctx.FatalIfErrorf(ctx.Run())
}
