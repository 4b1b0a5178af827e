package configstore

import "ringtrack.example/ringtrack/internal/clock"

// maxPendingJobs bounds the jobs that wait for the disk; while there are so many, processReady takes nothing from raft.
const maxPendingJobs = 1024

// job is a change of the data directory that has to be durable.
type job struct {
	records   []byte       // to append to the log
	sync      bool         // records must be durable before onDurable is called
	replace   func() error // another change, in place of records; it is durable when it returns
	onDurable func() error // called by the loop; nil: nothing to do

	// Set by the writer.
	err        error
	startedAt  float64 // ms of the monotonic clock
	finishedAt float64
}

// writer is the only one that writes to the data directory once the loop runs, on a goroutine of its own, so that the loop
// goes on with ticks, heartbeats and requests while the disk is slow. It carries out jobs in order, those that wait
// together with one sync. After the first error it fails all jobs: the content of the disk is unknown then, and the
// replica ends.
type writer struct {
	file *logFileHandle
	jobs chan *job // at most maxPendingJobs of them that have not come back, and one more
	done chan *job
	err  error
}

func newWriter(f *logFileHandle) *writer {
	return &writer{file: f, jobs: make(chan *job, maxPendingJobs+1), done: make(chan *job, maxPendingJobs+1)}
}

// run carries out jobs until the channel is closed.
func (w *writer) run() {
	for j := range w.jobs {
		w.runBatch(j)
	}
}

// runBatch carries out a job and those that wait behind it.
func (w *writer) runBatch(first *job) {
	batch := &jobBatch{writer: w, jobs: w.collect(first), startedAt: clock.Steady()}
	for i, j := range batch.jobs {
		switch {
		case w.err != nil:
		case j.replace == nil:
			_, w.err = w.file.Write(j.records)
			batch.unsynced = batch.unsynced || j.sync
		default:
			batch.finish(i)
			if w.err == nil {
				w.err = j.replace()
			}
			batch.finish(i + 1)
		}
	}
	batch.finish(len(batch.jobs))
}

// collect returns a job and those that wait behind it.
func (w *writer) collect(first *job) []*job {
	jobs := []*job{first}
	for {
		select {
		case j, open := <-w.jobs:
			if !open {
				return jobs
			}
			jobs = append(jobs, j)
		default:
			return jobs
		}
	}
}

// jobBatch is the jobs that are carried out together.
type jobBatch struct {
	writer    *writer
	jobs      []*job
	finished  int     // number of jobs that were given back
	startedAt float64 // of the first that was not, ms
	unsynced  bool    // records were written that have to be synced
}

// finish gives back the jobs before the end-th: what they changed is durable, or failed.
func (b *jobBatch) finish(end int) {
	w := b.writer
	if b.unsynced && w.err == nil {
		w.err = w.file.Sync()
	}
	b.unsynced = false
	now := clock.Steady()
	for _, j := range b.jobs[b.finished:end] {
		j.startedAt = b.startedAt
		j.finishedAt = now
		j.err = w.err
		w.done <- j
	}
	b.startedAt = now
	b.finished = end
}
