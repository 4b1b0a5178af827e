package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/lab/service"
	"ringtrack.example/ringtrack/internal/lab/xdsproxy"
	"ringtrack.example/ringtrack/internal/membership"
)

const testTimeout = 20 * time.Second

// The test binary runs the program itself if the environment variable is set.
func TestMain(m *testing.M) {
	if os.Getenv("RINGTRACK_TEST_MAIN") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

func program(t *testing.T, args ...string) *exec.Cmd {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(self, args...)
	cmd.Env = append(os.Environ(), "RINGTRACK_TEST_MAIN=1")
	return cmd
}

func config(t *testing.T, discoveryAddr, settings string) string {
	t.Helper()
	dir := t.TempDir()
	text := fmt.Sprintf("listen = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\nsettings = \"settings.json\"\n%s[roster]\naddr = %q\n", settings, discoveryAddr)
	for name, body := range map[string]string{"control.toml": text, "settings.json": string(service.Settings)} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(body), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return filepath.Join(dir, "control.toml")
}

// With an invalid configuration the program prints one line with the key and exits with a failure.
func TestInvalidConfigEndsTheProgram(t *testing.T) {
	out, err := program(t, "-config", config(t, "127.0.0.1:1", "service = \"a b\"\n")).CombinedOutput()
	if err == nil || bytes.Count(out, []byte("\n")) != 1 || !bytes.Contains(out, []byte("service: ")) {
		t.Errorf("with an invalid configuration: error %v, output %s", err, out)
	}
	if out, err := program(t, "-check", "-config", config(t, "127.0.0.1:1", "")).CombinedOutput(); err != nil {
		t.Errorf("check of a valid configuration: error %v, output %s", err, out)
	}
}

// The program serves proxies, reloads its configuration on SIGHUP, keeps the previous one if the new one is
// invalid, and shuts down on SIGTERM.
func TestReloadAndShutdownBySignal(t *testing.T) {
	discovery, err := lab.NewDiscoveryService(membership.Entry{ID: "s-1", Addr: "127.0.0.1:80", Zone: "east", State: membership.Up, Weight: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer discovery.Close()
	file := config(t, discovery.Addr, "")
	cmd := program(t, "-config", file)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	lines := make(chan string, 1000)
	go func() {
		defer close(lines)
		for in := bufio.NewScanner(stderr); in.Scan(); {
			lines <- in.Text()
		}
	}()
	waitForLine := func(what string) string {
		t.Helper()
		timeout := time.After(testTimeout)
		for {
			select {
			case l, ok := <-lines:
				if !ok {
					t.Fatalf("the program ended before it logged %q", what)
				}
				if strings.Contains(l, what) {
					return l
				}
			case <-timeout:
				t.Fatalf("the program never logged %q", what)
			}
		}
	}
	field := func(line, key string) string {
		_, rest, _ := strings.Cut(line, key+"=")
		v, _, _ := strings.Cut(rest, " ")
		return v
	}
	line := waitForLine("msg=serving")
	addr, admin := field(line, "listen"), field(line, "admin")
	waitForLine("PLAIN TEXT")
	p, err := xdsproxy.Dial(xdsproxy.Options{Target: addr, Node: "p"})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	select {
	case <-p.Ready():
	case <-time.After(testTimeout):
		t.Fatalf("no configuration: %s", p.LastError())
	}
	for path, want := range map[string]int{"/": 200, "/ready": 200, "/none": 404} {
		resp, err := http.Get("http://" + admin + path)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != want {
			t.Errorf("%s: unexpected status %d", path, resp.StatusCode)
		}
	}
	if err := os.WriteFile(file, []byte("listen = 5"), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd.Process.Signal(syscall.SIGHUP)
	waitForLine("the old one holds")
	valid, err := os.ReadFile(config(t, discovery.Addr, ""))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, valid, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd.Process.Signal(syscall.SIGHUP)
	waitForLine("configuration reloaded")
	cmd.Process.Signal(syscall.SIGTERM)
	for range lines { // until the program closes its output
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("the program ended with %v", err)
	}
}
