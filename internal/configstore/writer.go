package configstore

import "ringtrack.example/ringtrack/internal/clock"

// maxPendingJobs bounds what waits for the disk; raft is asked for no more while so many do.
const maxPendingJobs = 1024

// job is something that is to last.
type job struct {
	records   []byte       // what is put behind the log's end
	sync      bool         // records have to last before then is called
	replace   func() error // something else; it lasts when it returns
	onDurable func() error // the loop's, once it lasts; nil: nothing

	err                   error
	startedAt, finishedAt float64 // when the writer took it, and had done it
}

// writer is the one that writes to a keeper's folder once the loop runs, on a goroutine of its own: the loop goes on with
// ticks, heartbeats and asks while the disk takes its time. It carries out jobs in the order in which they come, those
// that wait together with one sync. After the first that fails it does nothing more (an error each): what the disk has
// is not known then, and the keeper ends.
type writer struct {
	file *logFileHandle
	jobs chan *job // the loop hands no more than mostJobs of them that have not come back
	done chan *job
	err  error
}

func newWriter(f *logFileHandle) *writer {
	return &writer{file: f, jobs: make(chan *job, maxPendingJobs+1), done: make(chan *job, maxPendingJobs+1)}
}

// run carries out jobs until there are none to come.
func (w *writer) run() {
	for j := range w.jobs {
		w.runBatch(j)
	}
}

// runBatch carries out a job and those that wait behind it.
func (w *writer) runBatch(j *job) {
	batch := []*job{j}
	for more := true; more; {
		select {
		case j, open := <-w.jobs:
			if more = open; open {
				batch = append(batch, j)
			}
		default:
			more = false
		}
	}
	began, given, due := clock.Steady(), 0, false
	// back gives back the jobs before the n-th: what they wanted lasts, or failed.
	back := func(n int) {
		if due && w.err == nil {
			w.err = w.file.Sync()
		}
		due = false
		over := clock.Steady()
		for _, j := range batch[given:n] {
			j.startedAt, j.finishedAt, j.err = began, over, w.err
			w.done <- j
		}
		began, given = over, n
	}
	for i, j := range batch {
		switch {
		case w.err != nil:
		case j.replace == nil:
			_, w.err = w.file.Write(j.records)
			due = due || j.sync
		default:
			if back(i); w.err == nil {
				w.err = j.replace()
			}
			back(i + 1)
		}
	}
	back(len(batch))
}
