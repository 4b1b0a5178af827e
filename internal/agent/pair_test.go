package agent

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/upgrade"
)

// Told to end beside an heir, a process ends each connection with its next answer, and leaves those that bring
// none open; with no heir it goes on as ever, and its listener with it.
func TestConnectionsEndWithTheirNextAnswerBesideAnHeir(t *testing.T) {
	for _, heir := range []bool{true, false} {
		t.Run(fmt.Sprintf("heir %v", heir), func(t *testing.T) {
			tmp := t.TempDir()
			b := newBackend(t, echo)
			a := startAgent(t, newDiscoveryServer(t, listedBackend("s-1", b.addr)), func(c *Config) {
				dir, err := upgrade.Join(tmp)
				if err != nil {
					t.Fatal(err)
				}
				c.UpgradeDir, c.serveAfterSignal = dir, 3*time.Second
			})
			next, err := upgrade.Join(tmp)
			if err != nil {
				t.Fatal(err)
			}
			if heir {
				if err := next.MarkServing(); err != nil {
					t.Fatal(err)
				}
			}
			busy, idle := a.dial(), a.dial()
			br := bufio.NewReader(busy)
			ask := func() *http.Response {
				t.Helper()
				fmt.Fprint(busy, rawOrder("/api/a1", fmt.Sprint(lastID.Add(1)), "Content-Length: 0\r\n", ""))
				resp, err := http.ReadResponse(br, nil)
				if err != nil || resp.StatusCode != 200 {
					t.Fatalf("%v, %v", resp, err)
				}
				io.Copy(io.Discard, resp.Body)
				return resp
			}
			if ask().Close {
				t.Error("the connection ends before the process is told to")
			}
			a.stop()
			if heir { // the listener closes at once
				for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
					c, err := testClient.Get("http://" + a.addr + "/-/ready")
					if err != nil {
						break
					}
					c.Body.Close()
					if time.Now().After(end) {
						t.Fatal("the listener stays")
					}
				}
			}
			if got := ask().Close; got != heir {
				t.Errorf("the connection ends with its answer: %v", got)
			}
			idle.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
			if _, err := idle.Read(make([]byte, 1)); !timedOut(err) {
				t.Errorf("the idle connection: %v", err)
			}
			if !heir {
				if status, _, _ := a.roundTrip(newRequest(a.addr, "order", "x")); status != 200 {
					t.Errorf("a new connection: %d", status)
				}
			}
		})
	}
}

func timedOut(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}
