package agent

import (
	"log/slog"

	"ringtrack.example/ringtrack/internal/admin"
	"ringtrack.example/ringtrack/internal/configstore/client"
	"ringtrack.example/ringtrack/internal/membership/discovery"
	"ringtrack.example/ringtrack/internal/upstream/conns"
)

// minSockets is the lowest descriptor limit that a configuration may set: it leaves a few connections for
// each side.
const minSockets = 64

// minMemoryMB is the lowest memory limit that a configuration may set.
const minMemoryMB = 16

// Descriptors of the process other than connections to backends and of clients. Their number does not grow
// with the limit, so a small limit has to reserve more than a fixed fraction.
const (
	// processDescriptors are the three standard streams, two of the runtime's poller, the lock of the folder
	// that two processes share, four that are open while that folder is read, and two that are open while a
	// configuration is read.
	processDescriptors = 12
	// discoveryConns are the connections of a discovery client, and one of the client that replaces it at a
	// reload.
	discoveryConns = discovery.MaxConns + 1
	// listenerDescriptors are a listener, and a connection that is accepted and closed at once.
	listenerDescriptors = 2
	// configStoreConns are the connections to replicas of the configuration store, and the listener for
	// peers.
	configStoreConns = client.MaxConns + 1
	// registryConns are the connections to the registry.
	registryConns = 2
	// minConnections is the minimum number of connections of each side, however low the limit is.
	minConnections = 4
	// minClientConnections is the minimum for each downstream, and the minimum number of idle clients.
	minClientConnections = 2
	// minAdminConnections is the minimum for the admin endpoint.
	minAdminConnections = 2
)

// Memory for connections of clients, so that those which never deliver a request fit into the limit: they are held
// before anything is reserved for them.
const (
	// clientMemoryDivisor gives the part of the memory limit that is for connections of clients.
	clientMemoryDivisor = 4
	// thriftConnBytes is what a connection takes at most with its buffers, stacks and the calls that are read ahead.
	thriftConnBytes = 48 << 10
)

// reservedDescriptors returns how many descriptors are used for neither backends nor clients of the
// downstreams.
func (c *Config) reservedDescriptors() int {
	n := processDescriptors + discoveryConns + listenerDescriptors*c.downstreams()
	if c.AdminAddr != "" {
		n += listenerDescriptors + c.maxAdminConnections()
	}
	if c.SharedConfig != nil {
		n += configStoreConns
	}
	if c.Registry != nil {
		n += registryConns
	}
	return n
}

// downstreams returns the number of listeners that clients connect to.
func (c *Config) downstreams() int {
	if c.ThriftFile != "" {
		return 2
	}
	return 1
}

// connectionsPerSide returns the limit of connections to backends, which is also that of all downstreams
// together.
func (c *Config) connectionsPerSide() int {
	return max(min(c.Sockets*7/16, (c.Sockets-c.reservedDescriptors())/2), minConnections)
}

// maxBackendConnections returns the limit of connections to backends.
func (c *Config) maxBackendConnections() int { return c.connectionsPerSide() }

// maxClientConnections returns the limit of client connections of each downstream.
func (c *Config) maxClientConnections() int {
	return max(c.connectionsPerSide()/c.downstreams(), minClientConnections)
}

// clientConnMemory returns the memory for the connections of each downstream, in bytes.
func (c *Config) clientConnMemory() int {
	return c.MemoryMB << 20 / clientMemoryDivisor / c.downstreams()
}

// maxThriftConnections returns the limit of connections of Thrift clients, by descriptors and by memory.
func (c *Config) maxThriftConnections() int {
	return max(min(c.maxClientConnections(), c.clientConnMemory()/thriftConnBytes), minClientConnections)
}

// maxIdleClients returns how many clients of a downstream may be connected before idle ones are closed. The
// application has a connection limit of its own, and idle connections could leave it none for its next
// request.
func (c *Config) maxIdleClients() int {
	return min(max(c.Sockets/4/c.downstreams(), minClientConnections), c.maxClientConnections())
}

// maxAdminConnections returns the limit of connections to the admin endpoint.
func (c *Config) maxAdminConnections() int {
	return min(max(c.Sockets/16, minAdminConnections), admin.MaxConnections)
}

// limitDescriptors lowers the configured number of descriptors to the limit of the process.
func (c *Config) limitDescriptors(limit uint64) {
	if limit < uint64(c.Sockets) {
		slog.Warn("the descriptor limit of the process is below the configured one", "limit", limit, "sockets", c.Sockets)
		c.Sockets = int(limit)
	}
}

// newPool returns the pool of connections to backends that all upstreams share. Backends close idle
// connections after the keep-alive time; the pool closes them after half of that.
func newPool(c *Config) *conns.Pool {
	limits := &c.Settings.Limits
	return conns.New(durationFromMs(limits.ConnectTimeoutMs), durationFromMs(limits.KeepaliveMs/2), c.maxBackendConnections())
}

// untouchedRuntimeBytes is about the memory that the runtime counts towards its limit, as it is mapped, but does not touch:
// tables of the heap and of the profiler.
const untouchedRuntimeBytes = 4 << 20

// MemoryLimit returns the soft memory limit of the runtime of one of a number of processes, in bytes: three quarters of the
// limit beyond which they are killed, without what takes no memory.
func (c *Config) MemoryLimit(processes int) int64 {
	memory := int64(c.MemoryMB) << 20 / int64(processes)
	return min(memory*3/4+untouchedRuntimeBytes, memory)
}

// bodyBudget returns the memory for bodies of requests and responses, except small ones, in bytes. The rest
// is for connections, the balancer and the runtime.
func (c *Config) bodyBudget() int64 { return int64(c.MemoryMB) << 20 / 5 }

// requestBudget returns the part of the budget for bodies from which the requests of each downstream have their share.
func (c *Config) requestBudget() int64 { return c.bodyBudget() / int64(c.downstreams()) }
