package http

import (
	"context"
	"net"
	"net/http"
	"time"

	"ringtrack.example/ringtrack/internal/core"
	"ringtrack.example/ringtrack/internal/upstream/conns"
	"ringtrack.example/ringtrack/policy"
)

const (
	healthPath = "/-/healthy"
	loadPath   = "/-/load"
	// healthCheckHead is the part of a health check request after the path.
	healthCheckHead = " HTTP/1.1\r\nHost: backend.local\r\n\r\n"
)

// HealthCheck makes an active health check of a backend. It requests the load report if ReportFields names
// any fields, otherwise only the health. A 503 means that the backend runs but accepts no requests now. A 404
// means that it does not support health checks, so nothing is known.
func (u *Upstream) HealthCheck(ctx context.Context, b *core.Backend, addr string, sent, deadline time.Time) core.Result {
	path := healthPath
	if len(u.ReportFields) > 0 {
		path = loadPath
	}
	return u.Pool.Do(ctx, &conns.Exchange{
		Key:           conns.Key{Backend: b},
		Addr:          addr,
		Sent:          sent,
		Deadline:      deadline,
		Budget:        u.Budget,
		HealthCheck:   true,
		EncodeRequest: func() net.Buffers { return net.Buffers{[]byte("GET " + path + healthCheckHead)} },
		ReadResponse: func(cn *conns.Conn, _ func(int64) error) (core.Result, bool, error) {
			return u.readHealthCheck(cn)
		},
	})
}

// readHealthCheck reads the response to a health check. Its body must not be longer than unreservedBytes.
func (u *Upstream) readHealthCheck(cn *conns.Conn) (core.Result, bool, error) {
	size := int64(0) // of the body so far: a chunked one reserves memory as it grows
	reserve := func(n int64) error {
		size += n
		if size > unreservedBytes {
			return conns.MalformedResponse("health check response with a body over %d bytes", unreservedBytes)
		}
		return nil
	}
	resp, body, err := readResponse(cn.Reader, reserve, nil)
	if err == nil && body.readMore != nil {
		err = conns.MalformedResponse("health check response with a body of %d bytes", body.size)
	}
	if err != nil {
		return core.Result{}, false, err
	}
	result := core.Result{
		Status: healthStatus(resp.StatusCode),
		Report: parseReport([]string{string(body.bytes)}, u.ReportFields),
	}
	return result, !resp.Close, nil
}

func healthStatus(code int) policy.Status {
	switch code {
	case http.StatusOK:
		return policy.OK
	case http.StatusServiceUnavailable:
		return policy.Rejected
	case http.StatusNotFound:
		return policy.NotStarted
	}
	return policy.Error
}
