package configstore

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"ringtrack.example/ringtrack/internal/configstore/client"
	"ringtrack.example/ringtrack/internal/sharedconfig"
	"ringtrack.example/ringtrack/internal/sharedconfig/history"
)

// The files under testdata were written at commit 5a7ac45, when the program was called ringtrack-keeper.
// datadir is the data directory of a replica that published three versions, added and removed a member (which
// takes snapshots) and cordoned a server. answers has the responses of that replica, and messages has JSON
// messages with every field set.

func golden(t *testing.T, path ...string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(append([]string{"testdata"}, path...)...))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Messages of the earlier version are decoded, with no unknown field, and encoded again without a difference.
func TestMessagesKeepTheirJSON(t *testing.T) {
	messages := map[string]any{
		"renew-request":    &client.RenewRequest{},
		"renew-response":   &client.RenewResponse{},
		"cordon-request":   &client.CordonRequest{},
		"publish-request":  &client.PublishRequest{},
		"publish-response": &client.PublishResponse{},
		"history-response": &client.HistoryResponse{},
		"status":           &client.Status{},
		"members-request":  &MembersRequest{},
		"raft-messages":    &raftMessages{},
		"identity":         &Identity{},
		"watermarks":       &watermarks{},
		"snapshot-state":   &state{},
		"command":          &history.Command{},
		"version":          &sharedconfig.Version{},
		"transition":       &sharedconfig.Transition{},
	}
	for name, message := range messages {
		t.Run(name, func(t *testing.T) {
			want := golden(t, "messages", name+".json")
			decoder := json.NewDecoder(bytes.NewReader(want))
			decoder.DisallowUnknownFields()
			if err := decoder.Decode(message); err != nil {
				t.Fatal(err)
			}
			got, err := json.Marshal(message)
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(got, bytes.TrimSpace(want)) {
				t.Errorf("after decoding and encoding:\n%s\nwant:\n%s", got, want)
			}
		})
	}
}

// runOldReplica runs a replica on a copy of testdata/datadir. It returns the address of the replica once it
// leads.
func runOldReplica(t *testing.T) (address, data string) {
	t.Helper()
	data = t.TempDir()
	if err := os.CopyFS(data, os.DirFS(filepath.Join("testdata", "datadir"))); err != nil {
		t.Fatal(err)
	}
	config := &Config{Name: "k1", Listen: "127.0.0.1:0", Data: data, Members: map[string]string{"k1": "127.0.0.1:0"},
		LeaseMs: 2000, ServerRulesMs: 3000, TickMs: 5}
	ctx, cancel := context.WithCancel(t.Context())
	listening := make(chan net.Addr, 1)
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, config, func(a net.Addr) { listening <- a }) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("Run: %v", err)
		}
	})
	select {
	case a := <-listening:
		address = a.String()
	case err := <-ended:
		ended <- err
		t.Fatalf("Run: %v", err)
	}
	caller := client.NewCaller()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		var history client.HistoryResponse
		if caller.Call(t.Context(), address, client.PathHistory, nil, nil, &history) == nil {
			return address, data
		}
	}
	t.Fatal("the replica does not lead within 10 s")
	return "", ""
}

// answer makes an HTTP call and returns the status and the body of the response. If body is "" the call is a
// GET.
func answer(t *testing.T, address, path, body string) (status int, text string) {
	t.Helper()
	method := http.MethodGet
	if body != "" {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(content)
}

// A replica runs on the data directory of the earlier version: versions, digests, epoch and identity are
// unchanged, the responses are equal byte for byte, and a further version can be published.
func TestOldDataDirectoryOpens(t *testing.T) {
	address, data := runOldReplica(t)
	for _, call := range []struct{ name, path, body string }{
		{"history", client.PathHistory, ""},
		{"version", client.PathVersion + "?n=0", ""},
		{"identity", pathIdentity, ""},
		{"renew", client.PathRenew, `{"name":"agent-1","inc":"i1","has":0,"wait_ms":0}`},
		{"renew-current", client.PathRenew, `{"name":"agent-2","inc":"i2","has":8,"wait_ms":0}`},
		{"publish-repeated", client.PathPublish, `{"id":"p3","parent":2,"book":{},"author":"x","reason":"y"}`},
	} {
		status, got := answer(t, address, call.path, call.body)
		if want := string(golden(t, "answers", call.name+".json")); status != http.StatusOK || got != want {
			t.Errorf("%s: status %d:\n%s\nwant:\n%s", call.name, status, got, want)
		}
	}
	for _, call := range []struct{ name, path, body string }{
		{"err-renew-name", client.PathRenew, `{"name":"","inc":"i1"}`},
		{"err-agent", client.PathRenew, `{"name":"other","inc":"i1"}`},
		{"err-parent", client.PathPublish, `{"id":"p9","parent":2,"book":{},"author":"x","reason":"y"}`},
		{"err-book", client.PathPublish, `{"id":"p9","parent":4,"book":{"x":1},"author":"x","reason":"y"}`},
		{"err-version", client.PathVersion + "?n=77", ""},
	} {
		want := string(golden(t, "answers", call.name+".txt"))
		code := strings.Fields(want)[len(strings.Fields(want))-1]
		if status, _ := answer(t, address, call.path, call.body); fmt.Sprint(status) != code {
			t.Errorf("%s: status %d, want %s", call.name, status, code)
		}
	}
	var history client.HistoryResponse
	if err := json.Unmarshal(golden(t, "answers", "history.json"), &history); err != nil {
		t.Fatal(err)
	}
	if history.Epoch != 8 || len(history.Versions) != 4 {
		t.Errorf("the fixture has epoch %d and %d versions, want 8 and 4", history.Epoch, len(history.Versions))
	}
	for _, v := range history.Versions {
		_, text := answer(t, address, fmt.Sprintf("%s?n=%d", client.PathVersion, v.Number), "")
		var version sharedconfig.Version
		if err := json.Unmarshal([]byte(text), &version); err != nil {
			t.Fatal(err)
		}
		if version.Digest != v.Digest || version.Config == nil || version.Config.Digest() != v.Digest {
			t.Errorf("version %d: digest %s, want %s; content %+v", v.Number, version.Digest, v.Digest, version.Config)
		}
	}
	if got, want := fileContent(t, data, "identity"), golden(t, "datadir", "identity"); !bytes.Equal(got, want) {
		t.Errorf("the identity file was changed: %q, want %q", got, want)
	}
	status, text := answer(t, address, client.PathCordon, `{"id":"c5","server":"c","on":false,"author":"operator"}`)
	if status != http.StatusOK || !strings.HasPrefix(text, `{"number":5,`) {
		t.Errorf("cordon: status %d: %s", status, text)
	}
}

func fileContent(t *testing.T, dir, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(dir, name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// The records of the earlier version's log and its other files are decoded and encoded again without a
// difference.
func TestOldFilesAreReadAndWrittenAlike(t *testing.T) {
	old := golden(t, "datadir", "log")
	var written []byte
	for at := 0; at < len(old); {
		r, ok := decodeRecord(old, at)
		if !ok {
			t.Fatalf("no record at byte %d", at)
		}
		again, err := appendRecord(nil, r.kind, decodeBody(t, r))
		if err != nil {
			t.Fatal(err)
		}
		written = append(written, again...)
		at = r.end
	}
	if !bytes.Equal(written, old) {
		t.Errorf("the log encoded again has %d bytes and differs from the original with %d bytes", len(written), len(old))
	}
	for _, name := range []string{snapshotFile, identityFile, watermarksFile} {
		content := golden(t, "datadir", name)
		text, err := removeChecksum(name, content)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(addChecksum(text), content) {
			t.Errorf("%s: the content with a new checksum differs from the file", name)
		}
	}
}

// decodeBody decodes the body of a record.
func decodeBody(t *testing.T, r logRecord) proto.Message {
	t.Helper()
	var m proto.Message = &pb.Entry{}
	if r.kind == recordHardState {
		m = &pb.HardState{}
	}
	if err := proto.Unmarshal(r.body, m); err != nil {
		t.Fatal(err)
	}
	return m
}
