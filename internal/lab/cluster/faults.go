package cluster

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
)

const (
	terminateTimeout    = 8 * time.Second
	restartLoopInterval = 100 * time.Millisecond

	// lateAnswerLeases is the time for which FaultLateAnswer delays answers, as a fraction of a lease.
	lateAnswerLeases = 0.6
	// lateAnswerWindow is the time during which the delayed answers may arrive.
	lateAnswerWindow = 10 * time.Millisecond
	// lateAnswerMinLeases is the minimum duration of the partition that follows, in leases.
	lateAnswerMinLeases = 2
)

// Disk faults of a process, in the syntax of the disk package's lab build.
const (
	diskSlow  = "sync-ms 200"
	diskError = "sync-error"
	diskFull  = "full"
	diskLies  = "lie"
)

var serverModes = map[string]lab.Mode{"failing": lab.Failing, "breaking": lab.ResetAfterRun, "silent": lab.Silent}

// injectFaults injects the faults of the plan at their times. It returns when run has ended and all faults
// are undone.
func (r *runner) injectFaults(ctx, run context.Context) {
	start := time.Now()
	var faults sync.WaitGroup
	for _, f := range r.plan.Faults {
		select {
		case <-time.After(time.Until(start.Add(time.Duration(f.AtMs) * time.Millisecond))):
			faults.Go(func() { r.inject(ctx, f) })
		case <-run.Done():
		}
		if run.Err() != nil {
			break
		}
	}
	<-run.Done()
	faults.Wait()
}

// sleep waits for a duration or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// inject injects one fault and undoes it after its duration.
func (r *runner) inject(ctx context.Context, f Fault) {
	duration := time.Duration(f.DurationMs) * time.Millisecond
	switch f.Kind {
	case FaultServer:
		r.serverFault(ctx, f, duration)
		return
	case FaultKillAll:
		r.killAll(ctx, duration)
		return
	}
	p := r.cluster.all[f.Target]
	if p == nil {
		return
	}
	switch f.Kind {
	case FaultKill, FaultTerminate, FaultFreeze, FaultPowerCut, FaultRestartLoop:
		r.processFault(ctx, f.Kind, p, duration)
	case FaultOneWay, FaultBothWays, FaultLateAnswer:
		r.linkFault(ctx, f, p, duration)
	case FaultSlowDisk, FaultDiskError, FaultDiskFull:
		diskFault(ctx, f.Kind, p, duration)
	case FaultWipe, FaultStaleData, FaultLyingDisk, FaultBitFlip:
		r.loseData(ctx, f, p, duration)
	}
}

func (r *runner) serverFault(ctx context.Context, f Fault, duration time.Duration) {
	for _, s := range r.traffic.Servers {
		if s.ID == f.Target {
			s.Set(serverModes[f.Detail])
			sleep(ctx, duration)
			s.Set(lab.Serving)
		}
	}
}

func (r *runner) killAll(ctx context.Context, duration time.Duration) {
	for _, replica := range r.cluster.Replicas {
		replica.Kill()
	}
	sleep(ctx, duration)
	for _, replica := range r.cluster.Replicas {
		replica.Start()
	}
}

func (r *runner) processFault(ctx context.Context, kind FaultKind, p *Process, duration time.Duration) {
	switch kind {
	case FaultKill:
		p.Kill()
	case FaultTerminate:
		if err := p.Terminate(terminateTimeout); err != nil && !expectedExit(p, err) {
			r.fail("%s: exited after SIGTERM with: %v", p.Name, err)
		}
	case FaultFreeze:
		p.Freeze()
		sleep(ctx, duration)
		p.Thaw()
		return
	case FaultPowerCut:
		if err := p.PowerCut(nil); err != nil {
			r.fail("%s: power cut: %v", p.Name, err)
		}
	case FaultRestartLoop:
		restartLoop(p, duration)
		return
	}
	sleep(ctx, duration)
	p.Start()
}

func restartLoop(p *Process, duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		p.Kill()
		p.Start()
		time.Sleep(restartLoopInterval)
	}
}

// expectedExit reports whether a concurrent fault may have caused the error with which a process exited after
// SIGTERM: an agent may exit with any error, a replica with an error of its disk or by SIGKILL.
func expectedExit(p *Process, err error) bool {
	return p.Data == "" || reportedError(p.Log()) || strings.Contains(err.Error(), "signal: killed")
}

// reportedError reports whether a replica's log contains an error by which the replica ended itself. Both the
// program and the package prefix these errors.
func reportedError(log string) bool {
	return strings.Contains(log, "configstore:")
}

// linkFault injects a fault of a process's links: those between an agent and the replicas, or between a
// replica and all other processes.
func (r *runner) linkFault(ctx context.Context, f Fault, p *Process, duration time.Duration) {
	others := r.cluster.Replicas
	if p.Data != "" {
		others = append(slices.Clone(others), r.cluster.Agents...)
	}
	set := func(out, in Mode) { r.cluster.SetLinks(p.Name, others, out, in) }
	switch f.Kind {
	case FaultOneWay:
		way, mode, _ := strings.Cut(f.Detail, " ")
		if way == "in" {
			set(Pass, modesByName[mode])
		} else {
			set(modesByName[mode], Pass)
		}
	case FaultBothWays:
		set(Stall, Stall)
	case FaultLateAnswer:
		set(Pass, Stall)
		time.Sleep(time.Duration(r.plan.LeaseMs*lateAnswerLeases) * time.Millisecond)
		set(Pass, Pass)
		time.Sleep(lateAnswerWindow)
		set(Stall, Stall)
		duration = max(duration, time.Duration(lateAnswerMinLeases*r.plan.LeaseMs)*time.Millisecond)
	}
	sleep(ctx, duration)
	set(Pass, Pass)
}

func diskFault(ctx context.Context, kind FaultKind, p *Process, duration time.Duration) {
	faults := map[FaultKind]string{FaultSlowDisk: diskSlow, FaultDiskError: diskError, FaultDiskFull: diskFull}
	p.SetDiskFault(faults[kind])
	sleep(ctx, duration)
	p.SetDiskFault("")
	if kind != FaultSlowDisk {
		p.Start() // a replica exits when it can't write
	}
}
