package core

import (
	"time"

	"ringtrack.example/ringtrack/internal/panics"
	"ringtrack.example/ringtrack/policy"
)

// healthCheckTimeout bounds a health check. A backend answers health checks outside its request queue, so a
// longer answer time means that it is stalled.
const healthCheckTimeout = 500 * time.Millisecond

// startHealthCheck checks a backend. The balancer always gets exactly one EventHealthCheckEnded, as it
// bounds the checks in progress.
func (l *EventLoop) startHealthCheck(server policy.Addr) {
	b := l.endpoints.byPolicyAddr[server]
	if !l.mayCheckHealth(b) {
		l.reportViolation(ViolationHealthCheck)
		l.pendingEvents = append(l.pendingEvents, policy.Event{
			Kind:   policy.EventHealthCheckEnded,
			Server: server,
			Status: policy.NotStarted,
		})
		return
	}
	b.inFlight++
	addr := b.addr
	now := time.Now()
	go func() {
		result := l.checkHealth(b, addr, now)
		l.Post(func() { l.healthCheckEnded(b, server, &result) })
	}()
}

// checkHealth makes a health check. A panic in its code counts as a failed check.
func (l *EventLoop) checkHealth(b *Backend, addr string, now time.Time) (result Result) {
	defer panics.Recover("health check", addr, func() {
		result = Result{Status: policy.Reset, LatencyMs: msFromDuration(time.Since(now))}
	})
	return l.cfg.HealthCheck(l.ctx, b, addr, now, now.Add(healthCheckTimeout))
}

func (l *EventLoop) mayCheckHealth(b *Backend) bool {
	return b != nil && b.addr != "" && !b.unavailable.Load() &&
		l.cfg.HealthCheck != nil && l.cfg.Settings.Limits.HealthChecks
}

func (l *EventLoop) healthCheckEnded(b *Backend, server policy.Addr, result *Result) {
	b.inFlight--
	l.handle(&policy.Event{
		Kind:      policy.EventHealthCheckEnded,
		Server:    server,
		Status:    result.Status,
		LatencyMs: result.LatencyMs,
		Report:    result.Report,
	})
	l.endpoints.forget(b)
}
