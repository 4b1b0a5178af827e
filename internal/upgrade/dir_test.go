package upgrade

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ringtrack.example/ringtrack/internal/membership"
)

const testTimeout = 20 * time.Second

func TestPredecessorAndSuccessor(t *testing.T) {
	for _, c := range []struct {
		peers                  []Peer
		predecessor, successor bool
	}{
		{nil, false, false},
		{[]Peer{{Seq: 4, Alive: true, Serving: true}}, true, false},
		{[]Peer{{Seq: 4, Alive: true}}, true, false}, // it has started, and may serve later
		{[]Peer{{Seq: 4, Serving: true}}, false, false},
		{[]Peer{{Seq: 6, Alive: true}}, false, false},               // it may never serve
		{[]Peer{{Seq: 6, Serving: true}}, false, false},             // it was killed
		{[]Peer{{Seq: 6, Alive: true, Serving: true}}, false, true}, //
		{[]Peer{{Seq: 4, Alive: true}, {Seq: 6, Alive: true}}, true, false},
	} {
		if p, s := HasPredecessor(5, c.peers), HasSuccessor(5, c.peers); p != c.predecessor || s != c.successor {
			t.Errorf("%+v: predecessor %v, successor %v; want %v, %v", c.peers, p, s, c.predecessor, c.successor)
		}
	}
}

// Either of two processes may end first; the other one remains on the address.
func TestRemainingProcess(t *testing.T) {
	for _, c := range []struct {
		peers []Peer
		want  Age
	}{
		{nil, None},
		{[]Peer{{Seq: 4}, {Seq: 6, Serving: true}}, None}, // both were killed
		{[]Peer{{Seq: 4, Alive: true}}, Older},
		{[]Peer{{Seq: 6, Alive: true}}, Newer}, // it may listen before it serves
		{[]Peer{{Seq: 6, Alive: true}, {Seq: 4, Alive: true}}, Newer},
	} {
		if got := Remaining(5, c.peers); got != c.want {
			t.Errorf("%+v: %v remains, want %v", c.peers, got, c.want)
		}
	}
}

func join(t *testing.T, tmp string) *Dir {
	t.Helper()
	d, err := Join(tmp)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func TestSuccessorIsAProcessThatServes(t *testing.T) {
	tmp := t.TempDir()
	old := join(t, tmp)
	if !old.First() || old.HasSuccessor() {
		t.Error("a single process is not First, or has a successor")
	}
	next := join(t, tmp)
	if next.First() || old.HasSuccessor() {
		t.Error("the next process is First, or a successor before it serves")
	}
	if err := next.MarkServing(); err != nil {
		t.Fatal(err)
	}
	if !old.HasSuccessor() || next.HasSuccessor() {
		t.Error("HasSuccessor is wrong once the next process serves")
	}
	if n, ok := old.Processes(); n != 2 || !ok {
		t.Errorf("%d processes counted while two run", n)
	}
	next.processFile.Close() // as the kernel does when a process is killed
	if n, _ := old.Processes(); n != 1 || old.HasSuccessor() {
		t.Errorf("a killed process is counted: %d", n)
	}
	third := join(t, tmp)
	if third.seq <= next.seq || third.First() {
		t.Errorf("the third process has number %d after %d, or is First", third.seq, next.seq)
	}
	if err := old.Close(); err != nil {
		t.Error(err)
	}
	if fourth := join(t, tmp); fourth.First() {
		t.Error("a process beside the third is First")
	}
}

func TestCordonsAreSharedAndOutliveProcesses(t *testing.T) {
	tmp := t.TempDir()
	a, b := join(t, tmp), join(t, tmp)
	var both sync.WaitGroup
	for i, d := range []*Dir{a, b} { // concurrently; no cordon may be lost
		both.Go(func() {
			for n := range 50 {
				if err := d.Cordon(fmt.Sprintf("s-%d-%d", i, n), true); err != nil {
					t.Error(err)
				}
			}
		})
	}
	both.Wait()
	ctx, cancel := context.WithCancel(t.Context())
	changes, ended := make(chan []string, 1000), make(chan struct{})
	go func() {
		defer close(ended)
		b.Follow(ctx, func() {
			ids, err := b.Cordoned()
			if err != nil {
				t.Error(err)
			}
			changes <- ids
		}, func(int) {})
	}()
	wait := func(n int) []string {
		for {
			select {
			case ids := <-changes:
				if len(ids) == n {
					return ids
				}
			case <-time.After(testTimeout):
				t.Fatalf("a change to %d cordons is not noticed", n)
			}
		}
	}
	wait(100)
	for range 2 { // ending a cordon twice is no error
		if err := a.Cordon("s-0-7", false); err != nil {
			t.Fatal(err)
		}
	}
	if ids := wait(99); slices.Contains(ids, "s-0-7") || !slices.IsSorted(ids) {
		t.Errorf("cordoned ids %v contain s-0-7 or are not sorted", ids)
	}
	cancel()
	<-ended
	a.processFile.Close()
	b.processFile.Close()
	if ids, err := join(t, tmp).Cordoned(); err != nil || len(ids) != 99 {
		t.Errorf("the next process has %d cordons, %v", len(ids), err)
	}
	if err := os.WriteFile(filepath.Join(tmp, agentFolder, "bans.json"), []byte(`["s-1"`), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := a.Cordoned(); err == nil {
		t.Error("an invalid file of cordons is not an error")
	}
}

// follow runs Follow in the background and returns the times of cordon changes and the process counts.
func follow(ctx context.Context, d *Dir) (changed chan time.Time, processes chan int) {
	changed, processes = make(chan time.Time, 100), make(chan int, 100)
	go d.Follow(ctx, func() { changed <- time.Now() }, func(n int) { processes <- n })
	return changed, processes
}

// A single process checks for others and for changed cordons four times a second and not more often.
func TestSingleProcessPollsAtLongInterval(t *testing.T) {
	tmp := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		start, d := time.Now(), join(t, tmp)
		changed, processes := follow(ctx, d)
		for i := range 8 {
			time.Sleep(10 * time.Millisecond) // just after a poll, so that an extra poll would be noticed
			if err := d.Cordon(fmt.Sprintf("s-%d", i), true); err != nil {
				t.Fatal(err)
			}
			if at, want := (<-changed).Sub(start), time.Duration(i+1)*250*time.Millisecond; at != want {
				t.Fatalf("cordon %d was noticed at %v, want %v", i, at, want)
			}
		}
		if len(processes) > 0 {
			t.Errorf("a single process has %d processes", <-processes)
		}
	})
}

// Whenever a second process joins, the first one notices its cordons within 50 ms after Cordon has returned,
// and Cordon returns within a second. The second one notices the first one's cordons as soon, and both know
// the number of processes.
func TestCordonReachesOtherProcessInTime(t *testing.T) {
	for after := time.Duration(0); after <= 250*time.Millisecond; after += 10 * time.Millisecond {
		tmp := t.TempDir()
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			old := join(t, tmp)
			oldChanged, oldProcesses := follow(ctx, old)
			time.Sleep(5*time.Millisecond + after)
			next := join(t, tmp)
			nextChanged, nextProcesses := follow(ctx, next)
			cordon := func(d *Dir, id string, max time.Duration) {
				t.Helper()
				called := time.Now()
				if err := d.Cordon(id, true); err != nil {
					t.Fatal(err)
				}
				returned := time.Now()
				if took := returned.Sub(called); took > max {
					t.Errorf("joined after %v: the cordon of %s returned after %v", after, id, took)
				}
				for who, changed := range map[string]chan time.Time{"the first": oldChanged, "the next": nextChanged} {
					if late := (<-changed).Sub(returned); late > 50*time.Millisecond {
						t.Errorf("joined after %v: %s process noticed %s %v after the return", after, who, id, late)
					}
				}
			}
			cordon(next, "s-1", 300*time.Millisecond)
			cordon(old, "s-2", 0)
			cordon(next, "s-3", 0)
			if n := <-oldProcesses; n != 2 || <-nextProcesses != 2 {
				t.Errorf("joined after %v: the first process counts %d", after, n)
			}
			next.Close()
			if n := <-oldProcesses; n != 1 {
				t.Errorf("after the other process has ended, %d are counted", n)
			}
		})
	}
}

func TestCordonsAreBounded(t *testing.T) {
	d := join(t, t.TempDir())
	ids := make([]string, MaxCordoned)
	for i := range ids {
		ids[i] = fmt.Sprintf("s-%05d", i)
	}
	if err := d.write("bans.json", ids); err != nil {
		t.Fatal(err)
	}
	if err := d.Cordon("one-more", true); !errors.Is(err, ErrTooManyCordoned) {
		t.Errorf("one cordon too many: %v", err)
	}
	if err := d.Cordon("s-00007", false); err != nil {
		t.Error(err)
	}
	if err := d.Cordon("one-more", true); err != nil {
		t.Error(err)
	}
}

func TestSavedEndpoints(t *testing.T) {
	tmp := t.TempDir()
	a := join(t, tmp)
	if s, err := a.SavedEndpoints(); s != nil || err != nil {
		t.Errorf("before the first save: endpoints %v, error %v", s, err)
	}
	want := SavedEndpoints{List: membership.List{Revision: 7, Full: true, Entries: []membership.Entry{{ID: "s-1", Addr: "127.0.0.1:1", State: "draining"}}}, Seen: []string{"s-0"}}
	if err := a.SaveEndpoints(&want); err != nil {
		t.Fatal(err)
	}
	s, err := join(t, tmp).SavedEndpoints()
	if err != nil || s.List.Revision != 7 || len(s.List.Entries) != 1 || s.List.Entries[0] != want.List.Entries[0] || !slices.Equal(s.Seen, want.Seen) {
		t.Errorf("after the save: endpoints %+v, error %v", s, err)
	}
}

func TestJoinWithoutFolder(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, tmp := range []string{"", file} {
		if d, err := Join(tmp); err == nil {
			t.Errorf("%q was joined: %+v", tmp, d)
		}
	}
}

// When a listener stops, connections in its accept queue are answered, and later ones reach the other
// listener. None is reset.
func TestStopListeningAnswersQueuedConnections(t *testing.T) {
	old, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := old.TCPListener.Addr().String()
	var queued []net.Conn
	for range 40 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		queued = append(queued, c)
	}
	next, err := Listen(addr) // it shares the address
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	serve := func(l net.Listener, name string, ended chan int) {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				ended <- n
				return
			}
			io.WriteString(c, name)
			c.Close()
		}
	}
	// The old one has accepted nothing when it stops, and nothing accepts before it has stopped.
	old.StopListening()
	oldEnded, nextEnded := make(chan int, 1), make(chan int, 1)
	go serve(old, "old", oldEnded)
	go serve(next, "new", nextEnded)
	read := func(c net.Conn) string {
		c.SetReadDeadline(time.Now().Add(testTimeout))
		text, err := io.ReadAll(c)
		if err != nil {
			return err.Error()
		}
		return string(text)
	}
	for i, c := range queued {
		if got := read(c); got != "old" {
			t.Fatalf("connection %d in the accept queue was answered by %q", i, got)
		}
	}
	if n := <-oldEnded; n != len(queued) {
		t.Errorf("the old listener accepted %d of %d queued connections", n, len(queued))
	}
	for range 40 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		if got := read(c); got != "new" {
			t.Fatalf("after the old listener had ended, a connection was answered by %q", got)
		}
		c.Close()
	}
}

// After PreferSuccessor connections reach the newer listener regardless of the kernel's hash, so that none
// arrives between the older one's last accept and its close. This still holds after another listener has
// joined.
func TestPreferSuccessorSteersConnections(t *testing.T) {
	old, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := old.TCPListener.Addr().String()
	for round := range 3 {
		next, err := Listen(addr)
		if err != nil {
			t.Fatal(err)
		}
		if err := old.PreferSuccessor(); err != nil {
			t.Fatal(err)
		}
		const clients = 64 // by the hash half of them would reach each listener
		for range clients {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
		}
		old.StopListening()
		if n := len(old.queued); n != 0 {
			t.Errorf("round %d: %d of %d reached the older listener", round, n, clients)
		}
		next.SetDeadline(time.Now().Add(testTimeout))
		for range clients - len(old.queued) {
			c, err := next.Accept()
			if err != nil {
				t.Fatal(err)
			}
			c.Close()
		}
		old = next
	}
	old.Close()
}
