package configstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
)

// members handles a call to add or remove a replica.
func (r *Replica) members(req *http.Request, body []byte) (any, error) {
	var call MembersRequest
	if err := json.Unmarshal(body, &call); err != nil {
		return nil, invalidCallError{err}
	}
	if (call.Add == "") == (call.Remove == "") || call.Add != "" && call.Addr == "" {
		return nil, invalidCallError{errors.New("members: add with addr, or remove, is needed")}
	}
	added := &Identity{}
	if call.Add != "" {
		var err error
		if added, err = r.identifyAdded(req.Context(), &call); err != nil {
			return nil, err
		}
	}
	done := make(chan error, 1)
	ctx, cancel := context.WithTimeout(req.Context(), forwardTimeout)
	defer cancel()
	if !r.post(ctx, func() { done <- r.changeMembers(&call, added) }) {
		return nil, errNotLeading
	}
	out := &struct{}{}
	select {
	case err := <-done:
		if errors.Is(err, errNotLeading) {
			return out, r.forward(req, &call, out, forwardTimeout)
		}
		return out, err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// identifyAdded calls the replica to add for its identity.
func (r *Replica) identifyAdded(ctx context.Context, call *MembersRequest) (*Identity, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout/2)
	defer cancel()
	added := &Identity{}
	if err := r.caller.Call(ctx, call.Addr, pathIdentity, http.Header{}, nil, added); err != nil {
		return nil, fmt.Errorf("members: the replica at %s does not identify itself: %w", call.Addr, err)
	}
	if added.Name != call.Add {
		return nil, invalidCallError{fmt.Errorf("members: at %s is replica %q", call.Addr, added.Name)}
	}
	return added, nil
}
