// Package agent runs one agent process. It reads the configuration, connects the downstreams, the event loop
// and the upstreams, and manages the lifecycle of the process:
//
//   - starting: the configuration is read and the listeners are opened;
//   - ready: a backend is known, and if there is a shared configuration, a lease was obtained;
//   - serving: the process takes requests, and a predecessor is notified of that;
//   - draining: after SIGTERM it still serves for a while, or hands its connections to a successor;
//   - ended: every request is answered.
package agent
