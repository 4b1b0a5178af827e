package stall

import (
	"net"
	"time"

	"ringtrack.example/ringtrack/internal/socket"
)

// Arrival returns when the bytes that are read from a connection now have arrived, or some that followed them: they may
// have waited in the accept queue, or while the process did not run.
func (w *Watcher) Arrival(nc net.Conn) time.Time {
	now := time.Now()
	if since, known := socket.SinceLastData(nc); known {
		return now.Add(-since)
	}
	return w.Earliest(now)
}
