package scale

import (
	"os"
	"testing"

	"ringtrack.example/ringtrack/internal/lab/cluster"
)

func TestMain(m *testing.M) {
	Child()
	code := m.Run()
	cluster.Clean()
	os.Exit(code)
}
