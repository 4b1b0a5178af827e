package pressure

const (
	// maxRandomCrowds bounds the kinds of clients that misbehave at once.
	maxRandomCrowds = 3
	// maxSlowClients bounds the clients of all kinds that hold connections, maxFastClients those that send at full speed.
	maxSlowClients, maxFastClients = 440, 6
	// maxKills bounds the kills of one run.
	maxKills = 2
)

// The kinds of clients that hold connections, and of those that send at full speed.
var (
	slowBehaviors = []Behavior{
		EndlessHead, EndlessHeadAtOnce, ShortFieldsWithoutBody, LongFieldsWithoutBody, PartOfBody, SlowBody, SlowTrailers,
		SlowReader, PartOfThriftMessage,
	}
	fastBehaviors = []Behavior{
		ReadyFlood, PipelinedReadyFlood, ReadyOnNewConnections, UnsoundRequestFlood, ExpiredRequestFlood,
		ThriftReplyFlood, ThriftUnknownFlood, ThriftOnewayFlood,
	}
	randomMemoryMB = []int{16, 24, 32, 64}
)

// RandomScenario returns a scenario with crowds that are drawn from a seed.
func RandomScenario(seed uint64) *Scenario {
	rng := newRand(seed, 0)
	s := &Scenario{
		Seed:     seed,
		MemoryMB: randomMemoryMB[rng.IntN(len(randomMemoryMB))],
		Sockets:  1024,
		Thrift:   true,
		Kills:    rng.IntN(maxKills + 1),
	}
	kinds := 1 + rng.IntN(maxRandomCrowds)
	for range kinds {
		behavior := slowBehaviors[rng.IntN(len(slowBehaviors))]
		s.Crowds = append(s.Crowds, Crowd{behavior, 1 + rng.IntN(maxSlowClients/kinds)})
	}
	if rng.IntN(2) == 0 {
		s.Crowds = append(s.Crowds, Crowd{fastBehaviors[rng.IntN(len(fastBehaviors))], 1 + rng.IntN(maxFastClients)})
	}
	return s
}

// Sizes returns the sizes of the crowds.
func (s *Scenario) Sizes() (sizes []int) {
	for _, c := range s.Crowds {
		sizes = append(sizes, c.Clients)
	}
	return sizes
}
