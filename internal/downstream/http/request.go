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
	// maxHeadBytes bounds the size of a head.
	maxHeadBytes = 16 << 10
	// maxTimeoutMs bounds the timeout that a client may set.
	maxTimeoutMs = 60_000
	// maxTokenBytes bounds the length of a request id or idempotency key.
	maxTokenBytes = 128
	// maxWorkHintUs bounds a work hint, in µs.
	maxWorkHintUs = 1e12
)

// Header fields of the protocol between clients and agents.
const (
	requestIDHeader      = "Request-Id"
	requestClassHeader   = "Request-Class"
	tenantHeader         = "Tenant"
	timeoutHeader        = "Request-Timeout-Ms"
	idempotencyKeyHeader = "Idempotency-Key"
	clientRetryHeader    = "Client-Retry"
	workHintHeader       = "Work-Hint"
	requestInfoHeader    = "Request-Info"
)

// singleValued are the fields that the agent evaluates. A request with two values of one is ambiguous.
var singleValued = []string{
	requestIDHeader,
	requestClassHeader,
	tenantHeader,
	timeoutHeader,
	idempotencyKeyHeader,
	clientRetryHeader,
	workHintHeader,
	requestInfoHeader,
}

// call is a client's request.
type call struct {
	core.Call
	upstreamCall upstream.Call // the payload, which is forwarded
	timeout      time.Duration // set by the client; it starts with the last byte of the request
}

// requestError is the error of an invalid request. Its status is never one that makes the client retry the
// request.
type requestError struct {
	status int
	text   string
}

func (e *requestError) Error() string { return e.text }

func requestErrorf(status int, format string, args ...any) error {
	return &requestError{status, fmt.Sprintf(format, args...)}
}

func badRequestf(format string, args ...any) error {
	return requestErrorf(http.StatusBadRequest, format, args...)
}

// Errors of heads that framingChecker rejects. The bytes that follow may be a smuggled request, and are not read.
var (
	errAmbiguousLength = requestErrorf(http.StatusLengthRequired, "a body needs one length: Content-Length, or Transfer-Encoding: chunked")
	errUnusableLength  = badRequestf("Content-Length can't be read")
	// errFramingDisagreement is the error of a request of which net/http has read another head than framingChecker.
	errFramingDisagreement = badRequestf("the length of the request is ambiguous")
)

// parseCall parses the head of a request into a call. It accepts only what common clients send: for anything
// else a backend might return an error or close the connection, and be ejected as an outlier. framingTrusted
// reports that the framing of a chunked body is unambiguous. An error is a *requestError.
func (s *Server) parseCall(req *http.Request, now time.Time, framingTrusted bool) (*call, error) {
	if err := checkMessage(req, framingTrusted); err != nil {
		return nil, err
	}
	h := req.Header
	for _, name := range singleValued {
		if len(h[name]) > 1 {
			return nil, badRequestf("%s more than once", name)
		}
	}
	c := &call{
		Call: core.Call{
			ID:       h.Get(requestIDHeader),
			Upstream: s.upstream,
			Answer:   make(chan core.Answer, 1),
		},
		upstreamCall: upstream.Call{
			Method: req.Method,
			Target: req.RequestURI,
			Host:   req.Host,
			Header: h,
		},
	}
	c.Payload = &c.upstreamCall
	if err := s.setClass(c, h); err != nil {
		return nil, err
	}
	if !isToken(c.ID) {
		return nil, badRequestf("Request-Id is no token of 1 to %d characters", maxTokenBytes)
	}
	if err := checkEffect(req, s.settings.Classes[c.Class].Effect); err != nil {
		return nil, err
	}
	timeoutMs, err := strconv.ParseUint(h.Get(timeoutHeader), 10, 32) // rejects a sign
	if err != nil || timeoutMs == 0 || timeoutMs > maxTimeoutMs {
		return nil, badRequestf("Request-Timeout-Ms is no whole number from 1 to %d", maxTimeoutMs)
	}
	c.timeout = time.Duration(timeoutMs) * time.Millisecond
	c.ReceivedAt = now
	c.Deadline = now.Add(c.timeout)
	c.HintMs, c.HasHint = parseWorkHint(h.Get(workHintHeader))
	c.Retry = s.settings.Clients.MarksRetry && h.Get(clientRetryHeader) == "1"
	if dir, last := path.Split(req.URL.EscapedPath()); len(dir) > 1 && last != "" {
		c.Key = membership.Hash(last)
	}
	return c, nil
}

// checkMessage checks version, framing, method and target.
func checkMessage(req *http.Request, framingTrusted bool) error {
	chunked := len(req.TransferEncoding) > 0
	switch {
	case req.ProtoMajor != 1 || req.ProtoMinor != 1:
		return requestErrorf(http.StatusHTTPVersionNotSupported, "the protocol version is not spoken here")
	case chunked && !framingTrusted || len(req.Header["Transfer-Encoding"]) > 0:
		return errAmbiguousLength
	case req.ContentLength > MaxBodyBytes:
		return requestErrorf(http.StatusRequestEntityTooLarge, "body over %d bytes", MaxBodyBytes)
	case req.Method != http.MethodGet && req.Method != http.MethodPost:
		return requestErrorf(http.StatusMethodNotAllowed, "method %s is not allowed", req.Method)
	case !strings.HasPrefix(req.RequestURI, "/") || strings.ContainsFunc(req.RequestURI, isNotInTarget):
		return badRequestf("the target is no path")
	}
	return nil
}

// setClass sets the class and tenant of the call.
func (s *Server) setClass(c *call, h http.Header) error {
	var ok bool
	if c.Class, ok = s.classes[h.Get(requestClassHeader)]; !ok {
		return badRequestf("unknown Request-Class")
	}
	if len(s.tenants) == 0 {
		return nil
	}
	if c.Tenant, ok = s.tenants[h.Get(tenantHeader)]; !ok {
		return badRequestf("unknown Tenant")
	}
	return nil
}

// checkEffect checks the method and the idempotency key against the effect of the class.
func checkEffect(req *http.Request, effect policy.Effect) error {
	_, hasKey := req.Header[idempotencyKeyHeader]
	switch {
	case (effect == policy.Idempotent) != (req.Method == http.MethodGet):
		return badRequestf("method %s does not fit the class", req.Method)
	case hasKey != (effect == policy.IdempotentByKey):
		return badRequestf("Idempotency-Key does not fit the class")
	case hasKey && !isToken(req.Header.Get(idempotencyKeyHeader)):
		return badRequestf("Idempotency-Key is no token of 1 to %d characters", maxTokenBytes)
	case req.Method == http.MethodGet && req.ContentLength != 0:
		return badRequestf("GET with a body")
	}
	return nil
}

// parseWorkHint parses the client's estimate of the work, in µs. An invalid one is ignored.
func parseWorkHint(text string) (ms float64, ok bool) {
	us, err := strconv.ParseFloat(text, 64)
	if err != nil || !(us > 0 && us < maxWorkHintUs) {
		return 0, false
	}
	return us / 1000, true
}

// isToken reports whether s is valid as a request id or idempotency key.
func isToken(s string) bool {
	return len(s) <= maxTokenBytes && httpguts.ValidHeaderFieldName(s)
}

// isNotInTarget reports whether r is invalid in a request target unless it is escaped.
func isNotInTarget(r rune) bool { return r <= ' ' || r > '~' || r == '#' }
