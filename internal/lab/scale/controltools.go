package scale

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"ringtrack.example/ringtrack/internal/sharedconfig"
)

// measuredTools are the measured commands of ringtrack-configstore.
var measuredTools = []string{"holders", "show", "publish"}

// toolCost is the usage of one run of a command.
type toolCost struct {
	cpuMs, mb, kb, ms float64 // kb: to and from replicas; ms: wall time
}

// measureTools runs each command, those that change nothing three times, and returns the run with the least
// processor time: other load on the machine adds to all runs.
func (r *controlRig) measureTools(ctx context.Context) (map[string]toolCost, error) {
	var addrs []string
	for _, replica := range r.Replicas {
		addr, err := r.ProxyAddr("tools", replica.Name, replica.Addr)
		if err != nil {
			return nil, err
		}
		addrs = append(addrs, addr)
	}
	bytes := func() (sum int64) {
		for _, replica := range r.Replicas {
			sum += r.BytesSent("tools", replica.Name) + r.BytesSent(replica.Name, "tools")
		}
		return sum
	}
	run := func(args ...string) (c toolCost, out string, err error) {
		ctx, cancel := context.WithTimeout(ctx, 30*time.Second)
		defer cancel()
		cmd := exec.CommandContext(ctx, filepath.Join(r.Bin, "ringtrack-configstore"), args...)
		cmd.Env = append(os.Environ(), "RINGTRACK_KEEPERS="+strings.Join(addrs, ","))
		from, before := time.Now(), bytes()
		var text strings.Builder
		cmd.Stdout, cmd.Stderr = &text, &text
		if err := cmd.Start(); err != nil {
			return c, "", err
		}
		peak, ended := make(chan float64, 1), make(chan struct{})
		go func() { peak <- peakMemory(cmd.Process.Pid, ended) }()
		err = cmd.Wait()
		close(ended)
		if err != nil {
			return c, "", fmt.Errorf("%v: %w: %s", args, err, tail(text.String(), 300))
		}
		c = toolCost{ms: ms(time.Since(from)), kb: float64(bytes()-before) / 1024, cpuMs: ms(cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime())}
		c.mb = <-peak
		return c, text.String(), nil
	}
	costs := map[string]toolCost{}
	for _, name := range []string{"holders", "show"} {
		for i := range 3 {
			c, out, err := run(name)
			if err != nil {
				return nil, err
			}
			if n := strings.Count(out, " stage "); name == "holders" && n < r.n {
				return nil, fmt.Errorf("holders lists %d agents, want %d", n, r.n)
			}
			if i == 0 || c.cpuMs < costs[name].cpuMs {
				costs[name] = c
			}
		}
	}
	next := r.version + 1
	text, err := toml.Marshal(configOf(next))
	if err != nil {
		return nil, err
	}
	file := filepath.Join(r.dir, "book.toml")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return nil, err
	}
	c, _, err := run("publish", file, "--parent", fmt.Sprint(r.version), "--author", "lab", "--reason", "cost")
	if err != nil {
		return nil, err
	}
	r.version, costs["publish"] = next, c
	_, err = r.awaitEpoch(ctx, r.names(nil), sharedconfig.EpochOf(next), time.Now(), 30*time.Second)
	return costs, err
}

// peakMemory returns the largest resident size of a process in MB, polled every half millisecond until the
// process has ended. The rusage of an ended process is no substitute: its peak includes the memory of the
// parent that forked it.
func peakMemory(pid int, ended chan struct{}) (peak float64) {
	for {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		if _, rest, ok := strings.Cut(string(text), "VmHWM:"); ok && err == nil {
			var kb float64
			fmt.Sscan(rest, &kb)
			peak = max(peak, kb/1024)
		}
		select {
		case <-ended:
			return peak
		case <-time.After(500 * time.Microsecond):
		}
	}
}

// toolLines returns the commands' costs as figures that grow with the size.
func toolLines() (lines []controlLine) {
	for _, name := range measuredTools {
		for _, x := range []struct {
			what, unit string
			of         func(toolCost) float64
		}{{"processor", "ms", func(c toolCost) float64 { return c.cpuMs }}, {"memory", "MB", func(c toolCost) float64 { return c.mb }},
			{"bytes", "KB", func(c toolCost) float64 { return c.kb }}, {"time", "ms", func(c toolCost) float64 { return c.ms }}} {
			lines = append(lines, controlLine{"ringtrack-configstore " + name + ", " + x.what, x.unit, func(c *sizeCost) float64 { return x.of(c.toolCosts[name]) }})
		}
	}
	return lines
}
