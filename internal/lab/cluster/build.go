package cluster

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"sync"
)

const (
	agentPackage   = "ringtrack.example/ringtrack/cmd/ringtrack"
	replicaPackage = "ringtrack.example/ringtrack/cmd/ringtrack-configstore"
)

// binaries is a directory of programs built with the same arguments, once per process.
type binaries struct {
	sync.Mutex
	args []string
	dir  string
	err  error
}

var (
	labBinaries     = binaries{args: []string{"-tags", "lab"}}
	productBinaries = binaries{args: []string{"-ldflags=-linkmode=external"}} // as README documents the build
)

// Build builds the programs with the tag lab, once per process, and returns their directory. Clean removes
// it.
func Build(ctx context.Context) (string, error) { return labBinaries.build(ctx) }

// BuildProduct is like Build, but builds the programs as they are released, without injected faults of disks
// and clocks.
func BuildProduct(ctx context.Context) (string, error) { return productBinaries.build(ctx) }

func (b *binaries) build(ctx context.Context) (string, error) {
	b.Lock()
	defer b.Unlock()
	if b.dir != "" || b.err != nil {
		return b.dir, b.err
	}
	dir, err := os.MkdirTemp("", "ringtrack-cluster")
	if err != nil {
		return "", err
	}
	args := append([]string{"build"}, b.args...)
	args = append(args, "-o", dir+"/", agentPackage, replicaPackage)
	if out, err := exec.CommandContext(ctx, "go", args...).CombinedOutput(); err != nil {
		os.RemoveAll(dir)
		b.err = fmt.Errorf("cluster: build: %w: %s", err, out)
		return "", b.err
	}
	b.dir = dir
	return dir, nil
}

// Clean removes the directories of Build and BuildProduct.
func Clean() {
	for _, b := range []*binaries{&labBinaries, &productBinaries} {
		b.Lock()
		if b.dir != "" {
			os.RemoveAll(b.dir)
		}
		b.dir = ""
		b.Unlock()
	}
}
