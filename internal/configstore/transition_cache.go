package configstore

import (
	"encoding/json"

	"ringtrack.example/ringtrack/internal/lease"
	"ringtrack.example/ringtrack/internal/sharedconfig"
	"ringtrack.example/ringtrack/internal/sharedconfig/history"
)

// transitionCache caches the transition of the epoch in force and the response that carries it, so that both are made
// once and not for each agent. A lookup compares all that they are made of (history.Source, the grant), so that no change
// of the state, by an entry or a snapshot, needs to invalidate it. It belongs to the loop; what it returns is shared and
// must not be changed.
type transitionCache struct {
	known      bool
	source     history.Source
	transition *sharedconfig.Transition
	grant      lease.Grant // of response
	response   []byte      // nil: not made yet
}

// get is versions.Transition, computed anew only if its source has changed.
func (c *transitionCache) get(versions *history.History) *sharedconfig.Transition {
	if source := versions.Source(); !c.known || c.source != source {
		*c = transitionCache{known: true, source: source, transition: versions.Transition()}
	}
	return c.transition
}

// encodedResponse is the JSON text of the response to a holder that needs the configuration too; nil in epoch 0, which
// has none.
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
