package configstore

import (
	"encoding/json"

	"ringtrack.example/ringtrack/internal/configstore/client"
	"ringtrack.example/ringtrack/internal/lease"
	"ringtrack.example/ringtrack/internal/sharedconfig"
	"ringtrack.example/ringtrack/internal/sharedconfig/history"
)

// encoded is an answer that is JSON text already.
type encoded []byte

// termsCache holds the terms of the stage in force, and the answer that brings them, so that both are made once and not
// for each agent. What is asked for is looked up by all that it is made of (agree.Basis, the grant), so that no change
// of the log's state, by an entry or by a snapshot, needs to say that it did. It belongs to the loop; what it gives out
// is shared and never changed.
type termsCache struct {
	known bool
	basis history.Source
	terms *sharedconfig.Transition
	grant lease.Grant // of text
	text  []byte      // nil: not made yet
}

// of is the book's Terms.
func (c *termsCache) of(b *history.History) *sharedconfig.Transition {
	if basis := b.Source(); !c.known || c.basis != basis {
		*c = termsCache{known: true, basis: basis, terms: b.Transition()}
	}
	return c.terms
}

// answer is the answer's text for a holder that needs the book's terms too; nil at stage 0, which has none.
func (c *termsCache) answer(b *history.History, g lease.Grant) ([]byte, error) {
	terms := c.of(b)
	if terms == nil {
		return nil, nil
	}
	if c.text == nil || c.grant != g {
		book, err := json.Marshal(terms.Config)
		if err != nil {
			return nil, err
		}
		text, err := json.Marshal(&client.RenewResponse{Epoch: g.Epoch, LeaseMs: g.LeaseMs, EndpointsMs: g.EndpointsMs, Config: book})
		if err != nil {
			return nil, err
		}
		c.grant, c.text = g, append(text, '\n')
	}
	return c.text, nil
}
