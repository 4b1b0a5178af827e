package unsolicited

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
)

// answerSlack is how late a final answer may be.
const answerSlack = 500 * time.Millisecond

// Load describes the requests of a run: half are non-idempotent, half have an idempotency key.
type Load struct {
	Agent              string // host:port
	Requests           int
	Clients            int           // at once, each with a connection of its own
	Timeout            time.Duration // of each request
	UnsafeClass, Keyed string        // names of the classes
}

// Run sends the requests and records the answers.
func (l *Load) Run(ctx context.Context, record *Record) {
	var next atomic.Int64
	var clients sync.WaitGroup
	for range l.Clients {
		clients.Go(func() {
			transport := &http.Transport{DisableCompression: true, MaxConnsPerHost: 1, DialContext: (&net.Dialer{}).DialContext}
			defer transport.CloseIdleConnections()
			for n := next.Add(1); n <= int64(l.Requests) && ctx.Err() == nil; n = next.Add(1) {
				l.send(ctx, transport, record, n)
			}
		})
	}
	clients.Wait()
}

// send sends one request and records its answer.
func (l *Load) send(ctx context.Context, transport *http.Transport, record *Record, n int64) {
	id := fmt.Sprintf("%016x", n)
	effect, class := lab.NonIdempotent, l.UnsafeClass
	if n%2 == 0 {
		effect, class = lab.IdempotentByKey, l.Keyed
	}
	ctx, cancel := context.WithTimeout(ctx, l.Timeout+answerSlack)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.Agent+"/api/"+id, strings.NewReader(id))
	if err != nil {
		record.unanswered(id, err)
		return
	}
	req.Header.Set("Request-Id", id)
	req.Header.Set("Request-Class", class)
	req.Header.Set("Request-Timeout-Ms", strconv.FormatInt(l.Timeout.Milliseconds(), 10))
	if effect == lab.IdempotentByKey {
		req.Header.Set("Idempotency-Key", id)
	}
	record.sent(id, effect)
	resp, err := transport.RoundTrip(req)
	if err != nil {
		record.unanswered(id, err)
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		record.unanswered(id, err)
		return
	}
	switch resp.StatusCode {
	case http.StatusOK:
		record.served(id, string(body))
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		record.clientRejected(id)
	default:
		record.failed()
	}
}
