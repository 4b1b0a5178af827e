package agent

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"ringtrack.example/ringtrack/internal/admin"
	"ringtrack.example/ringtrack/internal/panics"
	"ringtrack.example/ringtrack/internal/upstream/conns"
	"ringtrack.example/ringtrack/policy"
)

// loopTimeout limits how long a call of the admin endpoint, which has to be answered within a second, waits
// for the event loop. Nothing else waits for the event loop.
const loopTimeout = 600 * time.Millisecond

var (
	errBusy       = errors.New("the agent is too busy")
	errCordonLate = errors.New("the agent is too busy, the ban holds in a moment")
)

// serveAdmin serves the admin endpoint on an address, unless that is empty, until closeAdmin is called.
func (s *sharedState) serveAdmin(addr string, maxConnections int) (closeAdmin func(), err error) {
	if addr == "" {
		return func() {}, nil
	}
	ln, err := s.dir.Listen(addr)
	if err != nil {
		return nil, fmt.Errorf("admin_addr: %w", err)
	}
	slog.Info("listening for operators", "admin", ln.TCPListener.Addr().String())
	server := admin.New(s, maxConnections)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := server.Serve(ln); err != nil {
			slog.Error("admin endpoint failed", "err", err)
		}
	}()
	return func() { server.Close(); <-ended }, nil
}

// Serving implements admin.Agent.
func (s *sharedState) Serving() bool { return s.serving.Load() }

// Stats implements admin.Agent.
func (s *sharedState) Stats() admin.Stats {
	rotation := s.loop.Rotation()
	counters := s.loop.Counters()
	stats := admin.Stats{
		Written:       counters.Written.Load(),
		Open:          counters.Open.Load(),
		Listed:        rotation.Listed,
		Unavailable:   rotation.Unavailable,
		Panics:        panics.Recovered(),
		Disagreements: s.framingDisagreements(),
	}
	for i := range counters.Classes {
		c := &counters.Classes[i]
		stats.Classes = append(stats.Classes, admin.Class{
			Name:     c.Name,
			Served:   c.Served.Load(),
			Rejected: c.Rejected.Load(),
			Failed:   c.Failed.Load(),
		})
	}
	for reason := policy.ReasonNone + 1; reason < policy.NumRejectReasons; reason++ {
		stats.Unserved = append(stats.Unserved, admin.RuleCount{Rule: reason.String(), Count: counters.Unserved[reason].Load()})
	}
	for place := range conns.NumPlaces {
		stats.Unsolicited = append(stats.Unsolicited, admin.PlaceCount{Place: place.String(), Count: s.pool.Unsolicited[place].Load()})
	}
	stats.SharedConfig = s.sharedConfigStats()
	return stats
}

// Cordon implements admin.Agent. With a shared configuration the cordon is published there.
func (s *sharedState) Cordon(id string, cordoned bool) error {
	s.cordonLock.Lock()
	defer s.cordonLock.Unlock()
	known := make(chan bool, 1)
	if !s.loop.Do(loopTimeout/2, func() { known <- s.loop.Known(id) }) {
		return errBusy
	}
	if !<-known {
		return admin.ErrBackendNotFound
	}
	if s.renewer != nil {
		return s.publishCordon(id, cordoned)
	}
	return s.cordonLocally(id, cordoned)
}

// cordonLocally saves and applies a cordon at this agent alone. s.cordonLock must be held.
func (s *sharedState) cordonLocally(id string, cordoned bool) error {
	if s.dir != nil {
		if err := s.dir.Cordon(id, cordoned); err != nil {
			return err
		}
	}
	if !s.loop.Do(loopTimeout/2, func() { s.loop.Cordon(id, cordoned) }) && cordoned {
		return errCordonLate
	}
	return nil
}
