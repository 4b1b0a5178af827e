package main

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
)

// Signals that are repeated until the process has ended do not kill it: it shuts down gracefully, with exit
// code 0.
func TestRepeatedSignalsDoNotKillProcess(t *testing.T) {
	discovery := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer discovery.Close()
	defer discovery.CloseClientConnections()
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP} {
		for n := range 4 {
			t.Run(fmt.Sprint(signal, " ", n), func(t *testing.T) {
				t.Parallel()
				cmd := newProgram(t, `{"name":"n1","listen":"127.0.0.1:0","discovery":"`+discovery.Listener.Addr().String()+`","seed":"1",
"limits":{"cores":1,"memory_mb":64,"sockets":256},"known":{"version":0,"full":true,"servers":[]},"settings":`+settings+`}`)
				log := bufio.NewScanner(startLogged(t, cmd))
				for log.Scan() && !strings.Contains(log.Text(), "listening") {
				}
				if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
					t.Fatal(err)
				}
				for log.Scan() && !strings.Contains(log.Text(), "msg=stopped") {
				}
				signalsEnded := make(chan struct{})
				go func() {
					defer close(signalsEnded)
					for !errors.Is(cmd.Process.Signal(signal), os.ErrProcessDone) {
					}
				}()
				if err := cmd.Wait(); err != nil {
					t.Errorf("the process ended with %v, want exit code 0", err)
				}
				<-signalsEnded
			})
		}
	}
}
