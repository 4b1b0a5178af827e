package zk

import (
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"testing"
	"time"

	gozk "github.com/go-zookeeper/zk"

	"ringtrack.example/ringtrack/internal/zkwire"
)

// waitTimeout bounds every wait of the tests.
const waitTimeout = 20 * time.Second

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

func ensemble(t *testing.T, o Options) *Ensemble {
	t.Helper()
	e, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

// connect returns a connected client of an independent ZooKeeper library.
func connect(t *testing.T, e *Ensemble) *gozk.Conn {
	t.Helper()
	c, events, err := gozk.Connect(e.Addrs(), time.Second, gozk.WithLogger(discardLogger{}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	for expired := time.After(waitTimeout); ; {
		select {
		case ev := <-events:
			if ev.State == gozk.StateHasSession {
				return c
			}
		case <-expired:
			t.Fatal("the library has no session")
		}
	}
}

func awaitEvent(t *testing.T, what string, ch <-chan gozk.Event, want gozk.EventType) {
	t.Helper()
	select {
	case ev := <-ch:
		if ev.Type != want {
			t.Errorf("%s: event %v (%v), want %v", what, ev.Type, ev.Err, want)
		}
	case <-time.After(waitTimeout):
		t.Fatalf("%s: no event", what)
	}
}

// Guards against a stand-in that deviates from the protocol: an independent client library must work against
// everything that it implements.
func TestIndependentClient(t *testing.T) {
	e := ensemble(t, Options{Servers: 3, MaxSessionTimeout: 2 * time.Second})
	a, b := connect(t, e), connect(t, e)
	must := func(what string, err error) {
		t.Helper()
		if err != nil {
			t.Fatalf("%s: %v", what, err)
		}
	}
	want := func(what string, err, as error) {
		t.Helper()
		if !errors.Is(err, as) {
			t.Errorf("%s: %v, want %v", what, err, as)
		}
	}
	open := gozk.WorldACL(gozk.PermAll)
	_, err := a.Create("/fleet", []byte("x"), 0, open)
	must("create", err)
	_, err = a.Create("/fleet", nil, 0, open)
	want("again", err, gozk.ErrNodeExists)
	_, err = a.Create("/none/x", nil, 0, open)
	want("without parent", err, gozk.ErrNoNode)

	// Watches: children, data, existence; each one-shot.
	_, _, kids, err := b.ChildrenW("/fleet")
	must("children with a watch", err)
	_, _, exist, err := b.ExistsW("/fleet/s-1")
	must("exists with a watch", err)
	_, err = a.Create("/fleet/s-1", []byte("one"), gozk.FlagEphemeral, open)
	must("ephemeral", err)
	awaitEvent(t, "child", kids, gozk.EventNodeChildrenChanged)
	awaitEvent(t, "created", exist, gozk.EventNodeCreated)
	must("sync", func() error { _, err := b.Sync("/fleet"); return err }())
	data, stat, changed, err := b.GetW("/fleet/s-1")
	must("get with a watch", err)
	if string(data) != "one" || stat.EphemeralOwner != a.SessionID() || stat.Version != 0 || stat.Czxid == 0 || stat.DataLength != 3 {
		t.Errorf("%q, %+v", data, stat)
	}
	_, err = a.Set("/fleet/s-1", []byte("two"), 5)
	want("set of another version", err, gozk.ErrBadVersion)
	stat, err = a.Set("/fleet/s-1", []byte("two"), 0)
	must("set", err)
	awaitEvent(t, "changed", changed, gozk.EventNodeDataChanged)
	if stat.Version != 1 || stat.Mzxid <= stat.Czxid {
		t.Errorf("%+v", stat)
	}
	_, err = a.Create("/fleet/s-1/below", nil, 0, open)
	want("below an ephemeral one", err, gozk.ErrNoChildrenForEphemerals)
	want("delete with children", a.Delete("/fleet", -1), gozk.ErrNotEmpty)
	for i := range 3 {
		name, err := a.Create("/fleet/q-", nil, gozk.FlagSequence|gozk.FlagEphemeral, open)
		must("sequential", err)
		if want := fmt.Sprintf("/fleet/q-%010d", i+1); name != want {
			t.Errorf("named %s, want %s", name, want)
		}
	}
	name, err := a.CreateProtectedEphemeralSequential("/fleet/lock-", nil, open)
	must("protected", err)
	must("delete", a.Delete(name, -1))

	// Multi: all operations or none.
	_, err = a.Multi(&gozk.CreateRequest{Path: "/m", Acl: open}, &gozk.CreateRequest{Path: "/m/n", Acl: open},
		&gozk.SetDataRequest{Path: "/m", Data: []byte("d"), Version: 0}, &gozk.CheckVersionRequest{Path: "/m/n", Version: 0})
	must("multi", err)
	_, err = a.Multi(&gozk.CreateRequest{Path: "/m/o", Acl: open}, &gozk.DeleteRequest{Path: "/m/none", Version: -1})
	want("multi that fails", err, gozk.ErrNoNode)
	if ok, _, err := a.Exists("/m/o"); ok || err != nil {
		t.Errorf("a failed multi was applied in part: %v, %v", ok, err)
	}

	// Access control.
	must("auth", a.AddAuth("digest", []byte("user:secret")))
	_, err = a.Create("/closed", []byte("s"), 0, gozk.DigestACL(gozk.PermAll, "user", "secret"))
	must("closed", err)
	must("sync", func() error { _, err := b.Sync("/"); return err }())
	_, _, err = b.Get("/closed")
	want("without auth", err, gozk.ErrNoAuth)
	acl, _, err := b.GetACL("/closed")
	if err != nil && !errors.Is(err, gozk.ErrNoAuth) || len(acl) > 0 && acl[0].Scheme != "digest" {
		t.Errorf("acl %v, %v", acl, err)
	}
	_, err = a.SetACL("/closed", open, -1)
	must("open it", err)
	must("sync", func() error { _, err := b.Sync("/"); return err }())
	if _, _, err := b.Get("/closed"); err != nil {
		t.Error(err)
	}

	// Reconnect within the session: watches are restored, and changes in the meantime are reported.
	_, _, gone, err := b.GetW("/fleet/s-1")
	must("watch", err)
	for _, s := range e.Servers {
		s.SetDown(true)
	}
	e.Remove("/fleet/s-1")
	for _, s := range e.Servers {
		s.SetDown(false)
	}
	awaitEvent(t, "deleted while disconnected", gone, gozk.EventNodeDeleted)

	// The end of a session deletes its ephemeral nodes.
	must("sync", func() error { _, err := b.Sync("/fleet"); return err }())
	left, _, ends, err := b.ChildrenW("/fleet")
	must("children", err)
	if len(left) != 3 || !slices.IsSorted(left) {
		t.Errorf("children %v", left)
	}
	e.Expire(a.SessionID(), false)
	awaitEvent(t, "nodes of an expired session", ends, gozk.EventNodeChildrenChanged)
	if n := e.Children("/fleet"); len(n) != 0 {
		t.Errorf("children %v", n)
	}
}

// A lagging server shows stale data until a sync, and rejects a client that has seen a later zxid. A new
// leader begins a new epoch.
func TestLagAndLeader(t *testing.T) {
	e := ensemble(t, Options{Servers: 2})
	e.Servers[0].SetLag(time.Hour)
	e.Put("/a", []byte("1"), 0)
	e.Servers[1].SetDown(true)
	c := connect(t, e)
	if ok, _, err := c.Exists("/a"); ok || err != nil {
		t.Errorf("a lagging server shows %v, %v", ok, err)
	}
	if _, err := c.Sync("/a"); err != nil {
		t.Fatal(err)
	}
	if ok, _, err := c.Exists("/a"); !ok || err != nil {
		t.Errorf("after sync %v, %v", ok, err)
	}
	// A lagging server closes the connection of a client that has seen a later zxid, and accepts one that has
	// not.
	e.Servers[1].SetDown(false)
	e.Servers[1].SetLag(time.Hour)
	behind := e.Zxid()
	e.Put("/b", nil, 0)
	for _, seen := range []int64{behind, e.Zxid()} {
		nc, err := net.Dial("tcp", e.Servers[1].Addr)
		if err != nil {
			t.Fatal(err)
		}
		nc.SetDeadline(time.Now().Add(waitTimeout))
		connectRequest := zkwire.Connect{LastZxid: seen, TimeoutMs: 1000, Password: make([]byte, 16)}
		nc.Write(zkwire.Frame(connectRequest.AppendRequest))
		_, err = io.ReadFull(nc, make([]byte, 4))
		if accepted := err == nil; accepted != (seen == behind) {
			t.Errorf("a server at %#x and a client that has seen %#x: accepted %v", behind, seen, accepted)
		}
		nc.Close()
	}
	before := e.Zxid()
	e.LoseLeader()
	e.ElectLeader()
	if e.Zxid()>>32 <= before>>32 {
		t.Errorf("zxid %#x after %#x: no new epoch", e.Zxid(), before)
	}
}
