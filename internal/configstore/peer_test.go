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

// TestAHeartbeatWaitsForNoEntries has another keeper hold a call with entries: the heartbeat behind it comes all the same.
func TestAHeartbeatWaitsForNoEntries(t *testing.T) {
	hold, came := make(chan struct{}), make(chan pb.MessageType, 16)
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		parcel, err := readRaftMessages(req.Body)
		if err != nil {
			t.Error(err)
			return
		}
		for _, text := range parcel.Msgs {
			m := &pb.Message{}
			if err := proto.Unmarshal(text, m); err != nil {
				t.Error(err)
			}
			came <- m.GetType()
			if m.GetType() == pb.MsgApp {
				<-hold
			}
		}
	}))
	defer other.Close()
	defer close(hold)
	dir, err := disk.Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	defer dir.Close()
	members := map[string]string{"k1": "127.0.0.1:1", "k2": strings.TrimPrefix(other.URL, "http://")}
	ctx, cancel := context.WithCancel(t.Context())
	k := newReplica(ctx, &Config{Name: "k1", Members: members, LeaseMs: 2000, EndpointsMs: 3000, TickMs: 25}, dir,
		&Identity{Name: "k1", ID: 1, Cluster: 1, Formed: map[string]uint64{"k1": 1, "k2": 2}})
	k.runPeer = (*peer).run
	defer k.goroutines.Wait()
	defer cancel()
	if err := k.watermarks.load(dir); err != nil {
		t.Fatal(err)
	}
	if err := k.openStorage(); err != nil {
		t.Fatal(err)
	}
	k.goroutines.Go(func() { // the loop, as far as calls need it
		for {
			select {
			case f := <-k.inbox:
				f()
			case <-ctx.Done():
				return
			}
		}
	})
	take := func(want pb.MessageType) {
		t.Helper()
		select {
		case got := <-came:
			if got != want {
				t.Fatalf("%v came, %v was to", got, want)
			}
		case <-time.After(peerCallTimeout * 9 / 10): // a call that is held ends after that
			t.Fatalf("no %v", want)
		}
	}
	k.send(&pb.Message{Type: pb.MsgApp.Enum(), From: proto.Uint64(1), To: proto.Uint64(2)})
	take(pb.MsgApp)
	k.send(&pb.Message{Type: pb.MsgHeartbeat.Enum(), From: proto.Uint64(1), To: proto.Uint64(2)})
	take(pb.MsgHeartbeat)
}
