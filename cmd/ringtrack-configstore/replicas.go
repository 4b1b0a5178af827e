package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"ringtrack.example/ringtrack/internal/configstore/client"
	"ringtrack.example/ringtrack/internal/sharedconfig"
)

const (
	// callTimeout bounds a call to one replica, statusTimeout a status call.
	callTimeout   = 5 * time.Second
	statusTimeout = time.Second
)

var (
	errNoLeader         = errors.New("no replica leads")
	errNothingPublished = errors.New("no version has been published yet")
)

// replicas holds the addresses of the replicas of the configuration store.
type replicas struct {
	Addresses []string `name:"keepers" required:"" env:"RINGTRACK_KEEPERS" help:"Addresses of replicas; they are called in this order." placeholder:"HOST:PORT"`
}

// call calls the replicas in order until one gives a definite answer. A call that publishes has an id, so
// that the store publishes it once even if a replica carried out the call without answering it.
func (r *replicas) call(path string, in, out any) error {
	caller := client.NewCaller()
	var err error
	for _, addr := range r.Addresses {
		err = callReplica(caller, callTimeout, addr, path, in, out)
		if err == nil || client.IsDefinite(err) {
			return err
		}
	}
	return err
}

func callReplica(caller *client.Caller, timeout time.Duration, addr, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return caller.Call(ctx, addr, path, nil, in, out)
}

// status returns the status of one replica.
func status(caller *client.Caller, addr string) (*client.Status, error) {
	s := &client.Status{}
	if err := callReplica(caller, statusTimeout, addr, client.PathStatus, nil, s); err != nil {
		return nil, err
	}
	return s, nil
}

// leader returns the status of the leader.
func (r *replicas) leader() (*client.Status, error) {
	caller := client.NewCaller()
	last := errNoLeader
	for _, addr := range r.Addresses {
		s, err := status(caller, addr)
		if err != nil {
			last = err
		} else if s.Leader == s.Name {
			return s, nil
		}
	}
	return nil, last
}

// version returns a version by its number; 0 is the last version.
func (r *replicas) version(number uint64) (*sharedconfig.Version, error) {
	v := &sharedconfig.Version{}
	if err := r.call(fmt.Sprintf("%s?n=%d", client.PathVersion, number), nil, v); err != nil {
		return nil, err
	}
	if v.Number == 0 {
		return nil, errNothingPublished
	}
	return v, nil
}
