package configstore

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"ringtrack.example/ringtrack/internal/configstore/client"
	"ringtrack.example/ringtrack/internal/lease"
	"ringtrack.example/ringtrack/internal/sharedconfig"
)

// Bounds of a renewal.
const (
	maxIncarnationBytes = 64
	maxProblemBytes     = 4096
	maxRenewWaitMs      = 10_000
)

var errRenewBounds = invalidCallError{errors.New("renew: name, inc, unable or wait_ms is out of bounds")}

func checkRenew(r *client.RenewRequest) error {
	validName := r.Name != "" && len(r.Name) <= sharedconfig.MaxNameBytes
	validIncarnation := r.Incarnation != "" && len(r.Incarnation) <= maxIncarnationBytes
	validWait := r.WaitMs >= 0 && r.WaitMs <= maxRenewWaitMs
	if !validName || !validIncarnation || len(r.Problem) > maxProblemBytes || !validWait {
		return errRenewBounds
	}
	return nil
}

// renew handles a call for a lease or its renewal. It waits for a new epoch for at most a third of the lease.
func (r *Replica) renew(req *http.Request, body []byte) (any, error) {
	var call client.RenewRequest
	if err := json.Unmarshal(body, &call); err != nil {
		return nil, invalidCallError{err}
	}
	if err := checkRenew(&call); err != nil {
		return nil, err
	}
	waitMs := min(call.WaitMs, r.cfg.LeaseMs/3)
	timeout := time.Duration(waitMs*float64(time.Millisecond)) + forwardTimeout
	ctx, cancel := context.WithTimeout(req.Context(), timeout)
	defer cancel()
	result := r.wait(ctx, &request{
		Request: lease.Request{
			Holder:  lease.Holder{Name: call.Name, Incarnation: call.Incarnation},
			Epoch:   call.Epoch,
			Problem: call.Problem,
		},
		deadline: r.now() + waitMs,
	})
	switch {
	case errors.Is(result.err, errNotLeading):
		var out client.RenewResponse
		return &out, r.forward(req, &call, &out, timeout)
	case result.err != nil:
		return nil, result.err
	case result.encoded != nil:
		return encodedJSON(result.encoded), nil
	}
	return newRenewResponse(result.grant), nil
}

// newRenewResponse returns the response for a grant, without the configuration.
func newRenewResponse(grant lease.Grant) *client.RenewResponse {
	return &client.RenewResponse{Epoch: grant.Epoch, LeaseMs: grant.LeaseMs, ServerRulesMs: grant.ServerRulesMs}
}
