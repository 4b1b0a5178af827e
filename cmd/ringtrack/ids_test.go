package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/upgrade"
)

const (
	repeatedOrders = 300
	// minuteOfIDs is the number of ids of a minute at 1,280 requests a second.
	minuteOfIDs = 60 * 1280
)

// sendOrders sends orders with the same ids in each call, one after the other on a connection, and returns how many got
// each status.
func sendOrders(t *testing.T, addr string) map[int]int {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { conn.Close() }()
	answers := bufio.NewReader(conn)
	statuses := map[int]int{}
	for i := range repeatedOrders {
		if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(conn, framedHead(fmt.Sprint("order-", i), "Content-Length: 2\r\n")+"ab"); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		statuses[resp.StatusCode]++
		if !resp.Close {
			continue
		}
		conn.Close()
		if conn, err = net.Dial("tcp", addr); err != nil {
			t.Fatal(err)
		}
		answers.Reset(conn)
	}
	return statuses
}

// Guards against ids that are forgotten before their minute at the rate of the busiest day: over an upgrade their requests
// ran twice.
func TestIDsAreKnownOverAnUpgradeAtHighRates(t *testing.T) {
	backend := newRecordingBackend(t)
	config := oneBackendConfig(t, backend.Listener.Addr().String())
	addr := config["listen"].(string)
	tmp := t.TempDir()
	old, _ := startHealthy(t, config, tmp)
	if statuses := sendOrders(t, addr); statuses[http.StatusOK] != repeatedOrders {
		t.Fatalf("statuses %v of the first orders", statuses)
	}
	// The ids of other requests, as another process of the agent claims them.
	dir, err := upgrade.Join(tmp)
	if err != nil {
		t.Fatal(err)
	}
	ids, err := dir.IDs()
	if err != nil {
		t.Fatal(err)
	}
	for i := range minuteOfIDs {
		ids.Claim(fmt.Sprint("other-", i))
	}
	startHealthy(t, config, tmp)
	if err := old.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := old.Wait(); err != nil {
		t.Fatal(err)
	}
	statuses := sendOrders(t, addr)
	if ran := len(backend.withPrefix("order-")); statuses[http.StatusConflict] != repeatedOrders || ran != repeatedOrders {
		t.Errorf("statuses %v of the repeated orders, and %d of %d orders ran in all", statuses, ran, repeatedOrders)
	}
}
