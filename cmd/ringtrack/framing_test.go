package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// framingClients is how many clients of a framing test are connected at the same time.
	framingClients = 16
	// secondWriteDelay is long enough for a program to have read what was written before.
	secondWriteDelay = 30 * time.Millisecond
	// framingAnswerTime is how long a client waits for the end of its connection.
	framingAnswerTime = 3 * time.Second
	// killTime is when SIGKILL may come after SIGTERM: 0.7 s and the longest deadline, 3 s here.
	killTime = 3700 * time.Millisecond
)

// recordingBackend is a server that records the ids of the requests it runs.
type recordingBackend struct {
	*httptest.Server
	mu  sync.Mutex
	ids []string
}

func newRecordingBackend(t *testing.T) *recordingBackend {
	t.Helper()
	b := &recordingBackend{}
	b.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		b.mu.Lock()
		b.ids = append(b.ids, r.Header.Get("Request-Id"))
		b.mu.Unlock()
		_, _ = io.WriteString(w, "done")
	}))
	t.Cleanup(b.Close)
	return b
}

// withPrefix returns the recorded ids that begin with a prefix.
func (b *recordingBackend) withPrefix(prefix string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []string
	for _, id := range b.ids {
		if strings.HasPrefix(id, prefix) {
			found = append(found, id)
		}
	}
	return found
}

// oneBackendConfig returns the configuration of an agent that knows one backend, and whose discovery never answers.
func oneBackendConfig(t *testing.T, backend string) map[string]any {
	t.Helper()
	discovery := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	t.Cleanup(discovery.Close)
	t.Cleanup(discovery.CloseClientConnections)
	return map[string]any{
		"name": "n1", "listen": unusedAddr(t), "discovery": discovery.Listener.Addr().String(), "seed": "1",
		"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 256},
		"known": map[string]any{"version": 1, "full": true, "servers": []any{
			map[string]any{"id": "s-1", "addr": backend, "zone": "east", "kind": "big", "state": "up", "weight": 1}}},
		"settings": json.RawMessage(settings),
	}
}

// startHealthy starts a process of the agent, waits until it serves, and returns the address of its admin endpoint.
func startHealthy(t *testing.T, config map[string]any, tmp string) (*exec.Cmd, string) {
	t.Helper()
	cmd, admin := startProcess(t, config, tmp)
	waitUntil(t, "the process never serves", func() bool {
		status, _ := adminCall(admin, "GET", "/admin/health")
		return status == http.StatusOK
	})
	return cmd, admin
}

// startServing starts an agent with one backend, and returns its process and the addresses of its clients and operators.
func startServing(t *testing.T, backend string) (cmd *exec.Cmd, addr, admin string) {
	t.Helper()
	config := oneBackendConfig(t, backend)
	cmd, admin = startHealthy(t, config, t.TempDir())
	return cmd, config["listen"].(string), admin
}

// framedHead returns the head of a request, with further lines.
func framedHead(id, lines string) string {
	return "POST /api/" + id + " HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: " + id +
		"\r\nRequest-Class: order\r\nRequest-Timeout-Ms: 1200\r\n" + lines + "\r\n"
}

// hidingRequest returns a request with both a length and a coding, in whose body another one stands.
func hidingRequest(name string) string {
	hidden := framedHead("hidden-"+name, "Content-Length: 5\r\n") + "hello"
	body := "0\r\n\r\n" + hidden
	return framedHead("outer-"+name, fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n", len(body))) + body
}

// exchange writes the parts to a connection one after the other, and returns all that is answered until it is closed.
func exchange(addr string, parts ...string) (string, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(framingAnswerTime)); err != nil {
		return "", err
	}
	for i, part := range parts {
		if i > 0 {
			time.Sleep(secondWriteDelay)
		}
		if _, err := io.WriteString(conn, part); err != nil {
			break // the connection was closed behind an answer
		}
	}
	text, err := io.ReadAll(conn)
	return string(text), err
}

var statusLine = regexp.MustCompile(`HTTP/1\.[01] \d+`)

// framingForm is what a client sends ahead of a request that hides another one.
type framingForm struct{ name, ahead string }

// longLengths returns requests with lengths of many digits or behind many spaces, whose body looks like a head. The
// lines have all lengths around those that a reader may cut them at.
func longLengths() []framingForm {
	body := "POST /api/1 HTTP/1.1\r\nContent-Length: 100000\r\n\r\n"
	digits := fmt.Sprint(len(body))
	lineBytes := []int{64, 200, 240, 300, 511, 512, 513, 600, 1024, 3000, 4096, 8000}
	for n := 250; n <= 262; n++ {
		lineBytes = append(lineBytes, n)
	}
	var forms []framingForm
	for _, field := range []string{"Content-Length:", "content-length: ", "CONTENT-length:\t"} {
		for _, filler := range []string{"0", " ", "\t"} {
			for _, n := range lineBytes {
				name := fmt.Sprintf("%d-%d-%d", len(forms), n, filler[0])
				line := field + strings.Repeat(filler, n-len(field)-len(digits)) + digits + "\r\n"
				forms = append(forms, framingForm{name, framedHead("first-"+name, line) + body})
			}
		}
	}
	return forms
}

// checkHidesNothing sends each form, and behind it a request that hides another one, in one write and in two. Nothing
// with an ambiguous length may run, and each connection gets an answer.
func checkHidesNothing(t *testing.T, forms []framingForm) {
	t.Helper()
	backend := newRecordingBackend(t)
	_, addr, _ := startServing(t, backend.Listener.Addr().String())
	var clients errgroup.Group
	clients.SetLimit(framingClients)
	for _, form := range forms {
		clients.Go(func() error {
			for writes := 1; writes <= 2; writes++ {
				name := fmt.Sprintf("%s-%d", form.name, writes)
				parts := []string{strings.ReplaceAll(form.ahead, form.name, name), hidingRequest(name)}
				if writes == 1 {
					parts = []string{strings.Join(parts, "")}
				}
				text, err := exchange(addr, parts...)
				if err != nil {
					return fmt.Errorf("%s: the connection was not closed in time: %w", name, err)
				}
				if !statusLine.MatchString(text) {
					return fmt.Errorf("%s: no answer: %q", name, text)
				}
			}
			return nil
		})
	}
	if err := clients.Wait(); err != nil {
		t.Error(err)
	}
	for _, prefix := range []string{"hidden-", "outer-"} {
		if ids := backend.withPrefix(prefix); len(ids) > 0 {
			t.Errorf("%d requests of an ambiguous length ran, the first of them %s", len(ids), ids[0])
		}
	}
}

// Guards against a length of many digits of which the agent reads a prefix, so that the next request hides another one.
func TestLongLengthsHideNoRequest(t *testing.T) {
	checkHidesNothing(t, longLengths())
}

// Guards against a disagreement of the two readers of a head that nobody sees: HTTP/1.0 has no codings.
func TestDisagreementOnAHeadIsRejectedAndCounted(t *testing.T) {
	backend := newRecordingBackend(t)
	_, addr, admin := startServing(t, backend.Listener.Addr().String())
	text, err := exchange(addr, "GET /-/ready HTTP/1.0\r\nHost: x\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n",
		framedHead("behind", "Content-Length: 2\r\n")+"ab")
	if found := statusLine.FindAllString(text, -1); err != nil || len(found) != 1 || !strings.HasSuffix(found[0], "400") {
		t.Errorf("answered %q, %v; want one answer of status 400, and the end", text, err)
	}
	if ids := backend.withPrefix(""); len(ids) > 0 {
		t.Errorf("requests %v ran", ids)
	}
	if _, stats := adminCall(admin, "GET", "/admin/stats"); !strings.Contains(stats, "app.framing_disagreements=1\n") {
		t.Errorf("not counted: %s", stats)
	}
}

// Guards against empty lines that the agent takes for a head: it would owe that an answer, and not close the connection at
// its end.
func TestEmptyLinesDoNotDelayTheEnd(t *testing.T) {
	for _, between := range []string{"\r\r\n\n", "\r\n\r\n", "\n\n\n\n", ""} {
		t.Run(fmt.Sprintf("%q", between), func(t *testing.T) {
			t.Parallel()
			backend := newRecordingBackend(t)
			cmd, addr, _ := startServing(t, backend.Listener.Addr().String())
			signaled := time.Now()
			if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			for n := 0; ; n++ {
				conn, err := net.Dial("tcp", addr)
				if err != nil {
					break // the agent does not listen any longer
				}
				defer conn.Close()
				_, err = io.WriteString(conn, framedHead(fmt.Sprintf("end-%d", n), "Content-Length: 2\r\n")+"ab"+between)
				_, readErr := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil || readErr != nil {
					break
				}
				time.Sleep(secondWriteDelay)
			}
			if err := cmd.Wait(); err != nil || time.Since(signaled) > killTime {
				t.Errorf("ended %v after SIGTERM with %v, want %v at most", time.Since(signaled), err, killTime)
			}
		})
	}
}

// Guards against empty lines that shift the count of heads, so that the next request counts as one of a trusted length.
func TestEmptyLinesHideNoRequest(t *testing.T) {
	var forms []framingForm
	for i, between := range []string{"\r\r\n\n", "\r\r\n\r\n", "\r\n\r\n", "\n\n\n\n", "\r\n", "\n", "\r\r\r\r", "\n\r\r\n", "\r\r\r\n", "\r\n\r\n\r\n"} {
		name := fmt.Sprintf("lines-%d", i)
		forms = append(forms, framingForm{name, framedHead("first-"+name, "Content-Length: 2\r\n") + "ab" + between})
	}
	checkHidesNothing(t, forms)
}
