package http

import (
	"fmt"
	"net/http"
	"path"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"

	"ringtrack.example/ringtrack/internal/core"
	"ringtrack.example/ringtrack/internal/membership"
	upstream "ringtrack.example/ringtrack/internal/upstream/http"
	"ringtrack.example/ringtrack/policy"
)

const (
	// maxHeadBytes is the largest head.
	maxHeadBytes = 16 << 10
	// maxTimeoutMs bounds the time that a client may give, in ms.
	maxTimeoutMs = 60_000
	// maxTokenBytes bounds an id and a key.
	maxTokenBytes = 128
)

// singleValued are the fields with a meaning here: one of them twice means two things.
var singleValued = []string{"Request-Id", "Request-Class", "Tenant", "Request-Timeout-Ms", "Idempotency-Key",
	"Client-Retry", "Work-Hint", "Request-Info"}

// call is a client's request as the front took it, and where its answer goes.
type call struct {
	core.Call
	upstreamCall upstream.Call // what goes on
	timeout      time.Duration // what the client gives it, from its last byte on
}

// requestError is what is wrong with a request, and the status that says so. It is never a
// refusal: that would tell the client to send the same again.
type requestError struct {
	status int
	text   string
}

func (b *requestError) Error() string { return b.text }

func requestErrorf(status int, format string, args ...any) error {
	return &requestError{status, fmt.Sprintf(format, args...)}
}

// parseCall turns the head of a client's request into a call or tells what is wrong with
// it. What passes is what a usual client sends: a backend turns away or closes on the
// rest, and would be taken for a bad one. framed says that the framing of a chunked body can be trusted.
func (f *Server) parseCall(req *http.Request, now time.Time, framed bool) (*call, error) {
	h := req.Header
	refuse := func(format string, args ...any) (*call, error) {
		return nil, requestErrorf(http.StatusBadRequest, format, args...)
	}
	switch {
	case req.ProtoMajor != 1 || req.ProtoMinor != 1:
		return nil, requestErrorf(http.StatusHTTPVersionNotSupported, "the protocol version is not spoken here")
	case len(req.TransferEncoding) > 0 && !framed || len(h["Transfer-Encoding"]) > 0:
		// What follows may be a request hidden in the body, and is never read.
		return nil, requestErrorf(http.StatusLengthRequired, "a body needs one length: Content-Length, or Transfer-Encoding: chunked")
	case req.ContentLength > MaxBodyBytes:
		return nil, requestErrorf(http.StatusRequestEntityTooLarge, "body over %d bytes", MaxBodyBytes)
	case req.Method != http.MethodGet && req.Method != http.MethodPost:
		return nil, requestErrorf(http.StatusMethodNotAllowed, "method %s is not allowed", req.Method)
	case !strings.HasPrefix(req.RequestURI, "/") || strings.ContainsFunc(req.RequestURI, notInTarget):
		return refuse("the target is no path")
	}
	for _, name := range singleValued {
		if len(h[name]) > 1 {
			return refuse("%s more than once", name)
		}
	}
	c := &call{Call: core.Call{ID: h.Get("Request-Id"), Upstream: f.upstream, Answer: make(chan core.Answer, 1)},
		upstreamCall: upstream.Call{Method: req.Method, Target: req.RequestURI, Host: req.Host, Header: h}}
	c.Payload = &c.upstreamCall
	var ok bool
	if c.Class, ok = f.classes[h.Get("Request-Class")]; !ok {
		return refuse("unknown Request-Class")
	}
	if len(f.tenants) > 0 {
		if c.Tenant, ok = f.tenants[h.Get("Tenant")]; !ok {
			return refuse("unknown Tenant")
		}
	}
	if !isToken(c.ID) {
		return refuse("Request-Id is no token of 1 to %d characters", maxTokenBytes)
	}
	_, keyed := h["Idempotency-Key"]
	switch effect := f.settings.Classes[c.Class].Effect; {
	case (effect == policy.Idempotent) != (req.Method == http.MethodGet):
		return refuse("method %s does not fit the class", req.Method)
	case keyed != (effect == policy.IdempotentByKey):
		return refuse("Idempotency-Key does not fit the class")
	case keyed && !isToken(h.Get("Idempotency-Key")):
		return refuse("Idempotency-Key is no token of 1 to %d characters", maxTokenBytes)
	case req.Method == http.MethodGet && req.ContentLength != 0:
		return refuse("GET with a body")
	}
	// ParseUint takes no sign.
	left, err := strconv.ParseUint(h.Get("Request-Timeout-Ms"), 10, 32)
	if err != nil || left == 0 || left > maxTimeoutMs {
		return refuse("Request-Timeout-Ms is no whole number from 1 to %d", maxTimeoutMs)
	}
	c.timeout = time.Duration(left) * time.Millisecond
	c.Deadline = now.Add(c.timeout)
	if text := h.Get("Work-Hint"); text != "" {
		us, err := strconv.ParseFloat(text, 64)
		if c.HasHint = err == nil && us > 0 && us < 1e12; c.HasHint { // a guess: a bad one is none
			c.HintMs = us / 1000
		}
	}
	c.Retry = f.settings.Clients.MarksRetry && h.Get("Client-Retry") == "1"
	if dir, last := path.Split(req.URL.EscapedPath()); len(dir) > 1 && last != "" {
		c.Key = membership.Hash(last)
	}
	return c, nil
}

// isToken tells whether s is one of the words that ids and keys are.
func isToken(s string) bool {
	return len(s) <= maxTokenBytes && httpguts.ValidHeaderFieldName(s)
}

// notInTarget tells the characters that no request target holds as they are.
func notInTarget(r rune) bool { return r <= ' ' || r > '~' || r == '#' }
