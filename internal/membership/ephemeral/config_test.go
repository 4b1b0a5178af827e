package ephemeral

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"ringtrack.example/ringtrack/internal/membership/ephemeral/follow"
)

func TestLoadErrorsNameTheKey(t *testing.T) {
	dir := t.TempDir()
	load := func(text string) error {
		file := filepath.Join(dir, "ephemeral.toml")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Load(file)
		return err
	}
	const valid = "ensemble = [\"127.0.0.1:2181\"]\n"
	if err := load(valid); err != nil {
		t.Fatal(err)
	}
	for text, key := range map[string]string{
		"": "ensemble", `ensemble = ["h"]`: "ensemble[0]", valid + `path = "orders"`: "path", valid + `path = "/a//b"`: "path", valid + `chroot = "/a/"`: "chroot",
		valid + "depth = 3": "depth", valid + "session_ms = 0": "session_ms", valid + "session_ms = -5": "session_ms", valid + "session_ms = 3600000": "session_ms",
		valid + `form = "xml"`: "form", valid + `watch = "all"`: "watch", valid + `covers = "most"`: "covers", valid + "most = 0": "most",
		valid + "frame_limit = 10": "frame_limit", valid + `auth = "user"`: "auth", valid + "speed = 1": "speed", valid + "[vanish]\nshare = 0": "vanish.share",
		valid + "[vanish]\nshare = nan": "vanish.share", valid + "[vanish]\nwait_ms = -1": "vanish.wait_ms", valid + "[stale]\nlapse_ms = 1": "stale.lapse_ms",
		valid + "[flap]\nsettle_ms = 9000\nmost_ms = 10": "flap.most_ms", valid + "memory_ms = 5": "memory_ms", valid + `auth_file = "none"`: "auth_file",
		valid + "auth_file = \"x\"\nauth = \"a:b\"": "auth_file", valid + "[register]\nid = \"a/b\"": "register.id", valid + "[register]\nid = \"a\"": "register",
		valid + "depth = 2\n[register]\nid = \"a\"\naddr = \"h:1\"": "register.id", valid + "[register]\nid = \"a\"\naddr = \"h:1\"\nweight = -1": "weight",
		"ensemble = [": "toml",
	} {
		if err := load(text); err == nil || !strings.Contains(err.Error(), key) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, want it to name %s", text, err, key)
		}
	}
	if _, err := Load("../../../deploy/ephemeral.toml"); err != nil {
		t.Error(err)
	}
}

func TestParseNode(t *testing.T) {
	for _, test := range []struct{ form, data, want string }{
		{FormAuto, ``, "s-1   0"}, // the node exists, without data
		{FormAuto, `{"id":"a","addr":"h:1","zone":"east","state":"up","weight":2,"started_ms":5}`, "a h:1 up 2"},
		{FormAuto, `{"addr":"h:1"}`, "s-1 h:1 up 1"},
		{FormAuto, `{"addr":"h:1","state":"draining"}`, "s-1 h:1 draining 1"},
		{FormAuto, `{"addr":"h:1","state":"removed"}`, "s-1 h:1 draining 1"},
		{FormAuto, `{"addr":"h:1","state":"odd"}`, "s-1 h:1 odd 1"}, // an unknown state counts as draining
		{FormAuto, `{"serviceEndpoint":{"host":"h","port":7},"additionalEndpoints":{},"status":"ALIVE","shard":3}`, " h:7 up 1"},
		{FormServerSet, `{"serviceEndpoint":{"host":"::1","port":7},"status":"STOPPING"}`, " [::1]:7 draining 1"},
		{FormServerSet, `{"addr":"h:1"}`, "error: no serviceEndpoint"},
		{FormEndpoint, `{"serviceEndpoint":{"host":"h","port":7},"addr":"h:1"}`, "s-1 h:1 up 1"},
		{FormAuto, `{"serviceEndpoint":{"host":"h","port":0},"status":"ALIVE"}`, "error: serviceEndpoint"},
		{FormAuto, `{"addr":"h"}`, "error: "}, {FormAuto, `{"addr":"h:1","weight":-1}`, "error: "}, {FormAuto, `[1]`, "error: "},
	} {
		n, err := parseNode(test.form, &follow.Change{Name: "dir/s-1", Data: []byte(test.data)})
		got := fmt.Sprintf("%s %s %s %v", n.Entry.ID, n.Entry.Addr, n.Entry.State, n.Entry.Weight)
		if err != nil {
			if got = "error: " + strings.TrimPrefix(err.Error(), "node dir/s-1: "); n.Entry.ID != "s-1" || n.Entry.Addr != "" {
				t.Errorf("%s: a node with unusable data is %+v", test.data, n)
			}
		}
		if !strings.HasPrefix(got, test.want) {
			t.Errorf("%s %s: %q, want %q", test.form, test.data, got, test.want)
		}
	}
}
