package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"ringtrack.example/ringtrack/internal/configstore"
	"ringtrack.example/ringtrack/internal/configstore/client"
)

// membersCommand prints the status of the replicas, or changes the members.
type membersCommand struct {
	replicas
	Add    string `help:"Name of a replica to add; it is a learner until it has caught up."`
	Addr   string `help:"Address of the replica to add."`
	Remove string `help:"Name of a replica to remove."`
}

// Run prints the status of all replicas, or adds or removes a member.
func (c *membersCommand) Run() error {
	if c.Add != "" || c.Remove != "" {
		return c.call(client.PathMembers, &configstore.MembersRequest{Add: c.Add, Addr: c.Addr, Remove: c.Remove}, nil)
	}
	caller := client.NewCaller()
	for _, addr := range c.Addresses {
		s, err := status(caller, addr)
		if err != nil {
			fmt.Printf("%s: %v\n", addr, err)
			continue
		}
		printStatus(addr, s)
	}
	return nil
}

func printStatus(addr string, s *client.Status) {
	fmt.Printf("%s %s: leader %q, term %d, applied %d, stage %d, last version %d, members %s\n",
		addr, s.Name, s.Leader, s.Term, s.Applied, s.Epoch, s.Last, strings.Join(s.Members, ", "))
	for name, reason := range s.Unreachable {
		fmt.Printf("  messages rejected: %s: %s\n", name, reason)
	}
}

// holdersCommand lists the lease holders and those that block the next epoch.
type holdersCommand struct{ replicas }

// Run prints what the leader reports.
func (c *holdersCommand) Run() error {
	s, err := c.leader()
	if err != nil {
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(s.Holders)) {
		fmt.Printf("%s stage %d\n", name, s.Holders[name])
	}
	for _, blocker := range s.BlockedBy {
		fmt.Printf("blocked by: %s\n", blocker)
	}
	return nil
}
