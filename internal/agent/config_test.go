package agent

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"ringtrack.example/ringtrack/internal/configstore/client"
	"ringtrack.example/ringtrack/internal/membership/ephemeral"
)

func TestLoadConfig(t *testing.T) {
	good := `{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964",
"limits":{"cores":0.5,"memory_mb":64,"sockets":256},"known":{"version":4,"full":true,"servers":[{"id":"s-1"}]},
"settings":` + testSettings + `}`
	load := func(text string, env map[string]string) (*Config, error) {
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return LoadConfig(func(name string) string {
			if name == "PROXY_CONFIG" {
				return path
			}
			return env[name]
		})
	}
	c, err := load(good, map[string]string{"PROXY_LISTEN": "127.0.0.1:9"})
	if err != nil {
		t.Fatal(err)
	}
	if c.Listen != "127.0.0.1:9" || c.Discovery != "127.0.0.1:2" || c.Seed != 0x8c1f30d27a5be964 ||
		c.CachedEndpoints.Revision != 4 || c.Cores != 0.5 || len(c.Zones) != 2 || len(c.Settings.Classes) != 3 {
		t.Errorf("the configuration was read as %+v", c)
	}
	for _, bad := range []struct{ from, to, want string }{
		{`"seed":"8c1f30d27a5be964"`, `"seed":"zz"`, "seed"},
		{`"listen":"127.0.0.1:1"`, `"listen":"here"`, "listen"},
		{`"discovery":"127.0.0.1:2"`, `"discovery":""`, "discovery"},
		{`"cores":0.5`, `"cores":0`, "limits.cores"},
		{`"memory_mb":64`, `"memory_mb":-1`, "limits.memory_mb"},
		{`"sockets":256`, `"sockets":8`, "limits.sockets"},
		{`"sockets":256`, `"sockets":"many"`, "sockets"},
		{`"effect":"free"`, `"effect":"perhaps"`, "classes[0].effect"},
		{`"settings":`, `"other":`, "settings"},
		{`{`, ``, "config"},
	} {
		_, err := load(strings.Replace(good, bad.from, bad.to, 1), nil)
		if err == nil || !strings.Contains(err.Error(), bad.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line with %q", bad.to, err, bad.want)
		}
	}
	file := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(file, []byte("ensemble = [\"here\"]"), 0o600); err != nil {
		t.Fatal(err)
	}
	for env, want := range map[string]string{"PROXY_THRIFT": "thrift", "PROXY_EPHEMERAL": "ensemble[0]"} {
		_, err := load(good, map[string]string{env: file})
		if err == nil || !strings.Contains(err.Error(), env) || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: the error does not name the variable and the key: %v", env, err)
		}
	}
	if _, err := LoadConfig(func(string) string { return "" }); err == nil {
		t.Error("a missing configuration was accepted")
	}
}

// A start waits while the file is missing or incomplete. Any other error ends it.
func TestStartWaitsForIncompleteFile(t *testing.T) {
	good := `{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"7","limits":{"cores":1,"memory_mb":64,"sockets":256},"settings":` + testSettings + `}`
	path := filepath.Join(t.TempDir(), "config.json")
	reads := 0
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Error(err)
		}
	}
	// The file grows each time that PROXY_CONFIG is read.
	steps := []string{"", good[:1], good[:len(good)/2], good[:len(good)-1], good}
	c, err := StartConfig(t.Context(), func(name string) string {
		if name != "PROXY_CONFIG" {
			return ""
		}
		if reads++; reads > 1 { // the file does not exist at first
			write(steps[min(reads-2, len(steps)-1)])
		}
		return path
	})
	if err != nil || c.Discovery != "127.0.0.1:2" || reads != len(steps)+1 {
		t.Errorf("read %d times: %v", reads, err)
	}
	for name, text := range map[string]string{"wrong type": `{"listen":3}`, "invalid value": strings.Replace(good, "free", "perhaps", 1)} {
		write(text)
		reads = 0
		if _, err := StartConfig(t.Context(), func(name string) string {
			if reads++; name == "PROXY_CONFIG" {
				return path
			}
			return ""
		}); err == nil || errors.Is(err, errIncompleteFile) {
			t.Errorf("%s: want an error at once, got %v", name, err)
		}
	}
	write(good[:100])
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // a signal during the start
	if _, err := StartConfig(ctx, func(name string) string { return map[string]string{"PROXY_CONFIG": path}[name] }); !errors.Is(err, errIncompleteFile) {
		t.Errorf("start stopped by a signal: error %v, want errIncompleteFile", err)
	}
}

// The connections of all sides and the reserved descriptors together stay within the limit. From 1024
// descriptors on, as deployments have them, only a fixed fraction is reserved.
func TestConnectionLimitsFitDescriptors(t *testing.T) {
	for sockets := minSockets; sockets <= 4096; sockets++ {
		for _, c := range []Config{{}, {AdminAddr: "x"}, {ThriftFile: "x"}, {AdminAddr: "x", ThriftFile: "x"}, {SharedConfig: &client.Config{}},
			{AdminAddr: "x", ThriftFile: "x", SharedConfig: &client.Config{}, Registry: &ephemeral.Config{}}} {
			c.Sockets = sockets
			if n := c.maxBackendConnections() + c.downstreams()*c.maxClientConnections() + c.reservedDescriptors(); n > sockets && c.connectionsPerSide() > minConnections {
				t.Fatalf("%d descriptors used of %d, %d of them reserved", n, sockets, c.reservedDescriptors())
			}
			if c.maxBackendConnections() < minConnections || c.maxClientConnections() < 2 || c.maxIdleClients() > c.maxClientConnections() {
				t.Fatalf("with %d descriptors: %d connections to backends, %d idle and %d clients", sockets, c.maxBackendConnections(), c.maxIdleClients(), c.maxClientConnections())
			}
			if sockets >= 1024 && c.maxBackendConnections() != sockets*7/16 {
				t.Fatalf("with %d descriptors: %d connections to backends", sockets, c.maxBackendConnections())
			}
		}
	}
	c := &Config{Sockets: 1024}
	if c.limitDescriptors(4096); c.Sockets != 1024 {
		t.Errorf("with a higher process limit: %d descriptors, want 1024", c.Sockets)
	}
	if c.limitDescriptors(100); c.Sockets != 100 {
		t.Errorf("with a lower process limit: %d descriptors, want 100", c.Sockets)
	}
}
