package configstore

import "ringtrack.example/ringtrack/internal/clock"

// maxPendingJobs bounds the jobs that wait for the disk. When it is reached, processReady takes no further
// work from raft.
const maxPendingJobs = 1024

// job is a change of the data directory that has to be made durable.
type job struct {
	records   []byte       // records to append to the log
	sync      bool         // records must be durable before onDurable is called
	replace   func() error // a change other than appending records, durable when the function returns
	onDurable func() error // called by the event loop once the change is durable; may be nil

	// Set by the writer.
	err        error
	startedAt  float64 // ms of the monotonic clock
	finishedAt float64
}

// writer makes all writes to the data directory once the event loop runs. It has its own goroutine, so that a
// slow disk does not delay ticks, heartbeats and requests. It carries out jobs in order and syncs the log
// once for all jobs that are queued. After the first error it fails all jobs: the content of the disk is then
// unknown, and the replica stops.
type writer struct {
	file *logFileHandle
	jobs chan *job // up to maxPendingJobs unfinished jobs, and one more
	done chan *job // finished jobs
	err  error     // the first error
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

// runBatch carries out a job and those queued after it.
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

// collect returns a job and those queued after it.
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

// jobBatch is a list of jobs that are carried out together.
type jobBatch struct {
	writer    *writer
	jobs      []*job
	finished  int     // number of jobs that are finished
	startedAt float64 // start of the first unfinished job, ms
	unsynced  bool    // records were written that still have to be synced
}

// finish makes the changes of the jobs before index end durable and passes these jobs, with the result, to
// done.
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
