// Command adapter runs many independent balancers for the simulator: it reads batches of events from standard
// input and writes one frame of actions for each batch to standard output.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"ringtrack.example/ringtrack/internal/wire"
	"ringtrack.example/ringtrack/policy"
)

// bufferSize is the size in bytes of the buffers of the input and the output.
const bufferSize = 1 << 16

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	decoder := wire.NewDecoder(bufio.NewReaderSize(in, bufferSize))
	w := bufio.NewWriterSize(out, bufferSize)
	a := adapter{balancers: map[uint32]*policy.Balancer{}}
	for {
		a.encoder.Reset()
		if err := decoder.Next(a.handle); err != nil {
			if err == io.EOF { // compared by value: the error of a truncated batch wraps it
				return nil
			}
			return err
		}
		if _, err := a.encoder.WriteTo(w); err != nil {
			return fmt.Errorf("reply: %w", err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("reply: %w", err)
		}
	}
}

// adapter holds the running balancers by instance number. They share no state.
type adapter struct {
	balancers map[uint32]*policy.Balancer
	encoder   wire.Encoder
	actions   []policy.Action // reused buffer
}

// handle applies one record of a batch. Records of an instance that is not running are ignored. An instance
// whose settings are invalid is reported as crashed.
func (a *adapter) handle(now float64, rec *wire.Record) error {
	switch rec.Kind {
	case wire.Boot:
		balancer, err := newBalancer(rec)
		if err != nil {
			a.encoder.Crash(rec.Instance, err.Error())
			delete(a.balancers, rec.Instance)
			return nil
		}
		a.balancers[rec.Instance] = balancer
		a.actions = balancer.Start(now, a.actions[:0])
	case wire.Killed:
		delete(a.balancers, rec.Instance)
		return nil
	default:
		balancer := a.balancers[rec.Instance]
		if balancer == nil {
			return nil
		}
		a.actions = balancer.Handle(now, &rec.Event, a.actions[:0])
	}
	for i := range a.actions {
		a.encoder.Add(rec.Instance, &a.actions[i])
	}
	return nil
}

// newBalancer returns the balancer of a boot record.
func newBalancer(rec *wire.Record) (*policy.Balancer, error) {
	settings, err := wire.ParseSettings(rec.Settings)
	if err != nil {
		return nil, err
	}
	return policy.New(settings, rec.Seed)
}
