package upgrade

import (
	"context"
	"io/fs"
	"os"
	"path/filepath"
	"time"
)

const (
	// PollInterval is how often one of two processes looks for changes of the other: well within the shortest drain
	// grace, 250 ms.
	PollInterval = 50 * time.Millisecond
	// aloneInterval is how often a single process looks for another. Each look wakes an idle process.
	aloneInterval = 250 * time.Millisecond
	// settleTime is how long after its join a process can be sure that the other one has noticed it, and polls at
	// PollInterval from then on.
	settleTime = aloneInterval + PollInterval
)

// Follow polls the folder until ctx ends. It calls cordonsChanged when any process of the agent may have changed the
// cordoned backends, and processesChanged when the number of the agent's processes has changed.
func (d *Dir) Follow(ctx context.Context, cordonsChanged func(), processesChanged func(processes int)) {
	var last fs.FileInfo
	processes := 1
	untilCount := time.Duration(0) // until the processes are counted again
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if untilCount <= 0 {
			if n, ok := d.Processes(); ok && n != processes {
				processes = n
				processesChanged(n)
			}
			untilCount = aloneInterval
		}
		interval := PollInterval
		if processes == 1 {
			interval = aloneInterval
		}
		untilCount -= interval
		timer.Reset(interval)
		info, err := os.Stat(filepath.Join(d.path, cordonedFile))
		if err != nil || last != nil && os.SameFile(info, last) && info.ModTime().Equal(last.ModTime()) {
			continue
		}
		last = info
		cordonsChanged()
	}
}
