package keeper

import (
	"encoding/json"

	"ringtrack.example/ringtrack/internal/agree"
	"ringtrack.example/ringtrack/internal/agree/link"
	"ringtrack.example/ringtrack/internal/rulebook"
)

// encoded is an answer that is JSON text already.
type encoded []byte

// termsCache holds the terms of the stage in force, and the answer that brings them, so that both are made once and not
// for each agent. What is asked for is looked up by all that it is made of (agree.Basis, the grant), so that no change
// of the log's state, by an entry or by a snapshot, needs to say that it did. It belongs to the loop; what it gives out
// is shared and never changed.
type termsCache struct {
	known bool
	basis agree.Basis
	terms *rulebook.Terms
	grant agree.Grant // of text
	text  []byte      // nil: not made yet
}

// of is the book's Terms.
func (c *termsCache) of(b *agree.Book) *rulebook.Terms {
	if basis := b.Basis(); !c.known || c.basis != basis {
		*c = termsCache{known: true, basis: basis, terms: b.Terms()}
	}
	return c.terms
}

// answer is the answer's text for a holder that needs the book's terms too; nil at stage 0, which has none.
func (c *termsCache) answer(b *agree.Book, g agree.Grant) ([]byte, error) {
	terms := c.of(b)
	if terms == nil {
		return nil, nil
	}
	if c.text == nil || c.grant != g {
		book, err := json.Marshal(terms.Book)
		if err != nil {
			return nil, err
		}
		text, err := json.Marshal(&link.RenewAnswer{Stage: g.Stage, LeaseMs: g.LeaseMs, ListMs: g.ListMs, Book: book})
		if err != nil {
			return nil, err
		}
		c.grant, c.text = g, append(text, '\n')
	}
	return c.text, nil
}
