package configstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"ringtrack.example/ringtrack/internal/configstore/client"
	"ringtrack.example/ringtrack/internal/sharedconfig"
	"ringtrack.example/ringtrack/internal/sharedconfig/history"
)

const (
	// publishTimeout bounds the wait of a call for its command to be applied.
	publishTimeout = 3 * time.Second
	// maxPublishIDBytes bounds the id that a publisher gives its request.
	maxPublishIDBytes = 64
)

var errPublishUnknown = errors.New("whether it was published is not known: publish it again, under the same id")

// publish handles a call to publish a version.
func (r *Replica) publish(req *http.Request, body []byte) (any, error) {
	var call client.PublishRequest
	if err := json.Unmarshal(body, &call); err != nil {
		return nil, invalidCallError{err}
	}
	config, err := sharedconfig.Decode(call.Config)
	if err != nil {
		return nil, invalidCallError{err}
	}
	if err := checkPublisher(call.ID, call.Author, call.Reason); err != nil {
		return nil, err
	}
	command := &history.Command{Publish: &history.Publish{
		ID:     call.ID,
		Parent: call.Parent,
		Config: config,
		Author: call.Author,
		Reason: call.Reason,
		AtMs:   time.Now().UnixMilli(),
	}}
	return r.proposeAndWait(req, call.ID, command, &call)
}

// cordon handles a call to publish a version in which a server is cordoned, or no longer cordoned.
func (r *Replica) cordon(req *http.Request, body []byte) (any, error) {
	var call client.CordonRequest
	if err := json.Unmarshal(body, &call); err != nil {
		return nil, invalidCallError{err}
	}
	if err := checkPublisher(call.ID, call.Author, call.Server); err != nil || call.Server == "" {
		return nil, errors.Join(invalidCallError{errors.New("ban: id, server and author are needed")}, err)
	}
	command := &history.Command{Cordon: &history.Cordon{
		ID:     call.ID,
		Server: call.Server,
		On:     call.On,
		Author: call.Author,
		AtMs:   time.Now().UnixMilli(),
	}}
	return r.proposeAndWait(req, call.ID, command, &call)
}

// checkPublisher checks the id of a request and the texts that a publisher supplies with it.
func checkPublisher(id string, texts ...string) error {
	if id == "" || len(id) > maxPublishIDBytes {
		return invalidCallError{fmt.Errorf("publish: id: must have 1 to %d bytes", maxPublishIDBytes)}
	}
	for _, text := range texts {
		if len(text) > sharedconfig.MaxNameBytes {
			return invalidCallError{fmt.Errorf("publish: author and reason have %d bytes at the most", sharedconfig.MaxNameBytes)}
		}
	}
	return nil
}

// proposeAndWait proposes a command and waits until it is applied. If this replica does not lead, it forwards
// in, the decoded call, to the leader.
func (r *Replica) proposeAndWait(req *http.Request, id string, command *history.Command, in any) (any, error) {
	answer := make(chan proposalResult, 1)
	ctx, cancel := context.WithTimeout(req.Context(), publishTimeout)
	defer cancel()
	if !r.post(ctx, func() { r.propose(id, command, answer) }) {
		return nil, errNotLeading
	}
	select {
	case result := <-answer:
		if errors.Is(result.err, errNotLeading) {
			var out client.PublishResponse
			return &out, r.forward(req, in, &out, publishTimeout)
		}
		return publishResponse(result)
	case <-ctx.Done():
		return nil, errPublishUnknown
	}
}

func publishResponse(result proposalResult) (any, error) {
	switch err := result.err; {
	case err == nil:
		return &client.PublishResponse{Number: result.version.Number, Digest: result.version.Digest}, nil
	case !result.applied: // it may be applied later
		return nil, err
	case errors.Is(err, history.ErrParentMismatch), errors.Is(err, history.ErrTooManyPending):
		return nil, err
	default:
		return nil, invalidCallError{err}
	}
}
