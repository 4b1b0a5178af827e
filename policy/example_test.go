package policy

import "fmt"

func ExampleBalancer() {
	settings := Settings{
		Classes:         []Class{{Name: "read", LatencyObjectiveMs: 200, ClientTimeoutMs: 800, Effect: Idempotent, PriorityWeight: 1}},
		Limits:          Limits{MaxAttempts: 3},
		DiscoveryMode:   "pushed",
		BatchIntervalMs: 5,
	}
	b, err := New(settings, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 1000.0
	b.Start(now, nil)
	list := []Endpoint{{Server: Addr{10, 0, 0, 1, 0x1f, 0x90}, Health: Ready, Weight: 1}}
	b.Handle(now, &Event{Kind: EventEndpointUpdate, Update: UpdateComplete, Endpoints: list}, nil)
	for _, a := range b.Handle(now, &Event{Kind: EventRequest, Request: 1, Key: 7, RemainingMs: 800}, nil) {
		if a.Kind == ActionForward {
			fmt.Println("send request", a.Request, "to", a.Server)
		}
	}
	// Output: send request 1 to [10 0 0 1 31 144]
}
