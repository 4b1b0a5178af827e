// Package agent runs one agent process. It reads the configuration, connects the downstreams, the event loop and the
// upstreams, and owns the life of the process:
//
//   - starting: the configuration is read and the listeners are opened;
//   - ready: a backend is known, and with a shared configuration there was a lease;
//   - serving: the process takes requests, and a predecessor is notified of that;
//   - draining: after SIGTERM it still serves for a while, or hands its connections to a successor;
//   - ended: every request has its answer.
package agent
