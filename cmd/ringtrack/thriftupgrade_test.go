package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/lab/thriftlab"
)

const (
	thriftCallTime     = 1200 * time.Millisecond
	thriftCallInterval = 25 * time.Millisecond
	// notReadyTime is for how long calls are made beside a process that can't serve.
	notReadyTime = 2 * time.Second
)

// unusedAddr returns a loopback address on which nobody listens.
func unusedAddr(t *testing.T) string {
	t.Helper()
	addr, err := lab.UnusedAddr()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// writeFile writes a file of the test and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// callThrift makes one call on a connection of its own.
func callThrift(addr string, enc thriftlab.Encoding, op string) error {
	conn, err := net.DialTimeout("tcp", addr, thriftCallTime)
	if err != nil {
		return err
	}
	defer conn.Close()
	order := &thriftlab.Order{Op: op, Key: op, Ms: int32(thriftCallTime.Milliseconds())}
	if _, err := conn.Write(enc.Encode("place", thriftlab.Call, 7, order)); err != nil {
		return err
	}
	if err := conn.SetReadDeadline(time.Now().Add(thriftCallTime)); err != nil {
		return err
	}
	_, _, code, err := enc.NewReader(conn).Read()
	if err == nil && code >= 0 {
		err = fmt.Errorf("exception %d", code)
	}
	return err
}

// Guards against calls that a new process takes before it can serve, while the old one serves.
func TestThriftCallsAreServedBesideAProcessThatIsNotReady(t *testing.T) {
	enc := thriftlab.Encodings()[0]
	server, err := thriftlab.NewServer("s-1", enc, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	front := unusedAddr(t)
	t.Setenv("PROXY_THRIFT", writeFile(t, "thrift.toml", fmt.Sprintf("listen = %q\nframe_limit = 16777216\ndepth_limit = 64\n"+
		"unlisted = \"unsafe\"\nclass = \"order\"\n\n[[method]]\nname = \"place\"\nclass = \"order\"\nkey = \"1.3\"\ndeadline_ms = %d\n", front, thriftCallTime.Milliseconds())))
	config := oneBackendConfig(t, server.Addr)
	tmp := t.TempDir()
	startHealthy(t, config, tmp)
	waitUntil(t, "the process serves no calls", func() bool { return callThrift(front, enc, "first") == nil })
	// The new process waits for a lease, as its replicas do not answer.
	t.Setenv("PROXY_AGREED", writeFile(t, "agreed.toml",
		fmt.Sprintf("keepers = [%q]\npeers = []\ncall_ms = 400\nwait_ms = 500\non_lapse = \"refuse\"\n", unusedAddr(t))))
	startProcess(t, config, tmp)
	var mu sync.Mutex
	var failed []string
	var calls sync.WaitGroup
	made := 0
	for end := time.Now().Add(notReadyTime); time.Now().Before(end); time.Sleep(thriftCallInterval) {
		op := fmt.Sprint("op-", made)
		made++
		calls.Go(func() {
			if err := callThrift(front, enc, op); err != nil {
				mu.Lock()
				defer mu.Unlock()
				failed = append(failed, fmt.Sprintf("%s: %v", op, err))
			}
		})
	}
	calls.Wait()
	if len(failed) > 0 {
		t.Errorf("%d of %d calls were not served: %s", len(failed), made, strings.Join(failed[:min(len(failed), 3)], "; "))
	}
}
