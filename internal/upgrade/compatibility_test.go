package upgrade

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"ringtrack.example/ringtrack/internal/membership"
)

// The files in testdata were written by commit 5a7ac45. A process of this version may run beside one of that
// version, so it must read the files of that version and write the same bytes.

// wantSavedEndpoints and wantCordoned are the content of the files in testdata.
var (
	wantSavedEndpoints = SavedEndpoints{
		List: membership.List{Revision: 41, Full: true, Entries: []membership.Entry{
			{ID: "s-1", Addr: "127.0.0.1:7001", Zone: "west", Kind: "large", Cell: 2, State: membership.Up, Weight: 1.5,
				StartedMs: 1764700000123.5},
			{ID: "s-2", Addr: "[::1]:7002", State: membership.Draining, Weight: 1},
		}},
		Seen: []string{"s-0", "s-9"},
	}
	wantCordoned = []string{"s-0", "s-2"}
)

// idSlot is a slot of the id table in testdata.
type idSlot struct {
	Slot  int    `json:"slot"`
	Value uint64 `json:"value"`
}

func readTestdata(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func TestReadsFilesOfEarlierVersion(t *testing.T) {
	tmp := t.TempDir()
	if err := os.Mkdir(filepath.Join(tmp, "ringtrack-agent"), 0o700); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"list.json", "bans.json", "stale.json"} {
		if err := os.WriteFile(filepath.Join(tmp, "ringtrack-agent", name), readTestdata(t, name), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	d := join(t, tmp)
	if s, err := d.SavedEndpoints(); err != nil || !reflect.DeepEqual(*s, wantSavedEndpoints) {
		t.Errorf("saved endpoints %+v, error %v", s, err)
	}
	if ids, err := d.Cordoned(); err != nil || !slices.Equal(ids, wantCordoned) {
		t.Errorf("cordoned ids %v, error %v", ids, err)
	}
	if stale, found, err := d.DiscoveryStale(); !stale || !found || err != nil {
		t.Errorf("discovery stale %v, found %v, error %v", stale, found, err)
	}
}

func TestWritesFilesOfEarlierVersion(t *testing.T) {
	tmp := t.TempDir()
	d := join(t, tmp)
	if err := d.SaveEndpoints(&wantSavedEndpoints); err != nil {
		t.Fatal(err)
	}
	if err := d.SetDiscoveryStale(true); err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"s-2", "s-0"} {
		if err := d.Cordon(id, true); err != nil {
			t.Fatal(err)
		}
	}
	if err := d.MarkServing(); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"list.json", "bans.json", "stale.json", "process-1"} {
		got, err := os.ReadFile(filepath.Join(tmp, "ringtrack-agent", name))
		if want := readTestdata(t, name); err != nil || !bytes.Equal(got, want) {
			t.Errorf("%s: %q, %v; want %q", name, got, err, want)
		}
	}
}

// The earlier version claimed three ids at 1000 s; at 1010 s it retained one and released another.
func TestIDTableOfEarlierVersion(t *testing.T) {
	var want []idSlot
	if err := json.Unmarshal(readTestdata(t, "ids.json"), &want); err != nil {
		t.Fatal(err)
	}
	t.Run("writes", func(t *testing.T) {
		tmp := t.TempDir()
		synctest.Test(t, func(t *testing.T) { testWriteIDTable(t, tmp, want) })
	})
	t.Run("reads", func(t *testing.T) {
		tmp := t.TempDir()
		synctest.Test(t, func(t *testing.T) { testReadIDTable(t, tmp, want) })
	})
}

func testWriteIDTable(t *testing.T, tmp string, want []idSlot) {
	written := mapTable(t, tmp)
	written.startSeconds, written.startTime = 1000, time.Now()
	for _, id := range []string{"claimed", "kept", "released"} {
		if !written.Claim(id) {
			t.Fatalf("%s is not new", id)
		}
	}
	written.startSeconds = 1010
	written.Retain("kept")
	written.Release("released")
	var got []idSlot
	for i, value := range written.slots {
		if value != 0 {
			got = append(got, idSlot{i, value})
		}
	}
	if !slices.Equal(got, want) {
		t.Errorf("slots %v, want %v", got, want)
	}
}

func testReadIDTable(t *testing.T, tmp string, slots []idSlot) {
	read := mapTable(t, tmp)
	for _, s := range slots {
		read.slots[s.Slot] = s.Value
	}
	for _, c := range []struct {
		seconds uint64
		id      string
		want    bool
	}{
		{1000 + idLifetimeSeconds, "claimed", false},
		{1000 + idLifetimeSeconds + 2, "kept", false},
		{1010, "released", true},
		{1000 + idLifetimeSeconds + 2, "claimed", true},
		{1010 + idLifetimeSeconds + 2, "kept", true},
	} {
		read.startSeconds, read.startTime = c.seconds, time.Now()
		if got := read.Claim(c.id); got != c.want {
			t.Errorf("%s at %d s: claimed %v, want %v", c.id, c.seconds, got, c.want)
		}
	}
}
