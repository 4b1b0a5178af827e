package configstore

import (
	"encoding/json"

	"ringtrack.example/ringtrack/internal/lease"
	"ringtrack.example/ringtrack/internal/sharedconfig"
	"ringtrack.example/ringtrack/internal/sharedconfig/history"
)

// transitionCache caches the transition of the epoch in force and the encoded response with it, so that both
// are computed once and not for each agent. A lookup compares everything that they are derived from
// (history.Source and the grant), so the cache needs no invalidation when an entry or a snapshot changes the
// state. Only the event loop uses it; the values that it returns are shared and must not be changed.
type transitionCache struct {
	known      bool
	source     history.Source
	transition *sharedconfig.Transition
	grant      lease.Grant // the one in response
	response   []byte      // nil: not encoded yet
}

// get returns versions.Transition(), which it recomputes only if the source has changed.
func (c *transitionCache) get(versions *history.History) *sharedconfig.Transition {
	if source := versions.Source(); !c.known || c.source != source {
		*c = transitionCache{known: true, source: source, transition: versions.Transition()}
	}
	return c.transition
}

// encodedResponse returns the JSON text of a response with the grant and the configuration. It returns nil in
// epoch 0, which has no configuration.
func (c *transitionCache) encodedResponse(versions *history.History, grant lease.Grant) ([]byte, error) {
	transition := c.get(versions)
	if transition == nil {
		return nil, nil
	}
	if c.response != nil && c.grant == grant {
		return c.response, nil
	}
	config, err := json.Marshal(transition.Config)
	if err != nil {
		return nil, err
	}
	response := newRenewResponse(grant)
	response.Config = config
	text, err := json.Marshal(response)
	if err != nil {
		return nil, err
	}
	c.grant = grant
	c.response = append(text, '\n')
	return c.response, nil
}
