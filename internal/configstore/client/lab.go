//go:build lab

package client

import (
	"context"
	"encoding/json"
	"os"

	"ringtrack.example/ringtrack/internal/clock"
)

// cachedResponseFile is the file in the working directory in which the defect back-on-start stores a
// response.
const cachedResponseFile = "kept-book.json"

// Defects seeded by the lab in an agent: its lease starts at the response instead of the request; or it
// caches the first configuration and adopts it after a restart without a lease.
func init() {
	switch os.Getenv("RINGTRACK_LAB_DEFECT") {
	case "from-answer":
		leaseStart = func(float64) float64 { return clock.Steady() }
	case "back-on-start":
		onAdopted = cacheFirstResponse
		onStart = adoptCachedResponse
	}
}

func cacheFirstResponse(_ *Renewer, response *RenewResponse) {
	if _, err := os.Stat(cachedResponseFile); err != nil && response.Epoch > 0 {
		text, _ := json.Marshal(response)
		os.WriteFile(cachedResponseFile, text, 0o600)
	}
}

func adoptCachedResponse(ctx context.Context, r *Renewer) {
	var response RenewResponse
	if text, err := os.ReadFile(cachedResponseFile); err == nil && json.Unmarshal(text, &response) == nil {
		r.accept(ctx, clock.Steady(), &response)
	}
}
