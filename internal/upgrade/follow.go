package upgrade

import (
	"context"
	"io/fs"
	"os"
	"path/filepath"
	"time"
)

const (
	// PollInterval is how often each of two processes checks for changes made by the other. It is well below
	// the shortest drain grace, 250 ms.
	PollInterval = 50 * time.Millisecond
	// singlePollInterval is how often a single process checks whether another one has joined. It is longer,
	// since each check wakes an idle process.
	singlePollInterval = 250 * time.Millisecond
	// settleTime is how long after a process has joined the other one has certainly noticed it, and polls at
	// PollInterval.
	settleTime = singlePollInterval + PollInterval
)

// Follow polls the folder until ctx ends. It calls cordonsChanged when any process of the agent may have
// changed the cordoned backends, and processesChanged when the number of the agent's processes has changed.
func (d *Dir) Follow(ctx context.Context, cordonsChanged func(), processesChanged func(processes int)) {
	var last fs.FileInfo
	processes := 1
	countIn := time.Duration(0) // time until the processes are counted again
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if countIn <= 0 {
			if n, ok := d.Processes(); ok && n != processes {
				processes = n
				processesChanged(n)
			}
			countIn = singlePollInterval
		}
		interval := PollInterval
		if processes == 1 {
			interval = singlePollInterval
		}
		countIn -= interval
		timer.Reset(interval)
		info, err := os.Stat(filepath.Join(d.path, cordonedFile))
		if err != nil || last != nil && os.SameFile(info, last) && info.ModTime().Equal(last.ModTime()) {
			continue
		}
		last = info
		cordonsChanged()
	}
}
