package configstore

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"ringtrack.example/ringtrack/internal/disk"
)

// A heartbeat arrives while a call with entries to the same replica is still in progress.
func TestHeartbeatDoesNotWaitForEntries(t *testing.T) {
	release, received := make(chan struct{}), make(chan pb.MessageType, 16)
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		messages, err := readRaftMessages(req.Body)
		if err != nil {
			t.Error(err)
			return
		}
		for _, text := range messages.Msgs {
			m := &pb.Message{}
			if err := proto.Unmarshal(text, m); err != nil {
				t.Error(err)
			}
			received <- m.GetType()
			if m.GetType() == pb.MsgApp {
				<-release
			}
		}
	}))
	defer other.Close()
	defer close(release)
	dir, err := disk.Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	defer dir.Close()
	members := map[string]string{"k1": "127.0.0.1:1", "k2": strings.TrimPrefix(other.URL, "http://")}
	ctx, cancel := context.WithCancel(t.Context())
	replica := newReplica(ctx, &Config{Name: "k1", Members: members, LeaseMs: 2000, ServerRulesMs: 3000, TickMs: 25}, dir,
		&Identity{Name: "k1", ID: 1, Cluster: 1, InitialMembers: map[string]uint64{"k1": 1, "k2": 2}})
	replica.runPeer = (*peer).run
	defer replica.goroutines.Wait()
	defer cancel()
	if err := replica.watermarks.load(dir); err != nil {
		t.Fatal(err)
	}
	if err := replica.openStorage(); err != nil {
		t.Fatal(err)
	}
	replica.goroutines.Go(func() { // replaces the event loop
		for {
			select {
			case f := <-replica.inbox:
				f()
			case <-ctx.Done():
				return
			}
		}
	})
	expect := func(want pb.MessageType) {
		t.Helper()
		select {
		case got := <-received:
			if got != want {
				t.Fatalf("received %v, want %v", got, want)
			}
		case <-time.After(peerCallTimeout * 9 / 10): // the delayed call times out after that
			t.Fatalf("no %v", want)
		}
	}
	replica.send(&pb.Message{Type: pb.MsgApp.Enum(), From: proto.Uint64(1), To: proto.Uint64(2)})
	expect(pb.MsgApp)
	replica.send(&pb.Message{Type: pb.MsgHeartbeat.Enum(), From: proto.Uint64(1), To: proto.Uint64(2)})
	expect(pb.MsgHeartbeat)
}
