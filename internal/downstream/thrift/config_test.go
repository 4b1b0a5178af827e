package thrift

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"ringtrack.example/ringtrack/internal/thriftwire"
	"ringtrack.example/ringtrack/policy"
)

const validConfig = "listen = \"127.0.0.1:9090\"\nclass = \"order\"\n"

var testClasses = []policy.Class{
	{Name: "read", LatencyObjectiveMs: 1000, ClientTimeoutMs: 2000, Effect: policy.Idempotent, PriorityWeight: 1},
	{Name: "send", LatencyObjectiveMs: 1000, ClientTimeoutMs: 2000, Effect: policy.IdempotentByKey, DedupScope: policy.ScopeAll, IdempotencyWindowMs: 8000, PriorityWeight: 2},
	{Name: "order", LatencyObjectiveMs: 1000, ClientTimeoutMs: 2000, Effect: policy.NonIdempotent, PriorityWeight: 5}}

// The error of an invalid configuration names its key.
func TestConfigErrorsNameTheKey(t *testing.T) {
	load := func(text string) error {
		file := filepath.Join(t.TempDir(), "thrift.toml")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		c, err := Load(file)
		if err == nil {
			_, err = c.Table(testClasses)
		}
		return err
	}
	if err := load(validConfig); err != nil {
		t.Fatal(err)
	}
	method := func(rest string) string { return validConfig + "[[method]]\nname = \"m\"\nclass = \"order\"\n" + rest }
	for key, text := range map[string]string{
		"listen: ":                "class = \"order\"\n",
		"frame_limit: ":           validConfig + "frame_limit = 1\n",
		"depth_limit: ":           validConfig + "depth_limit = 0\n",
		"unlisted: ":              validConfig + "unlisted = \"maybe\"\n",
		"class: the settings":     "listen = \"127.0.0.1:9090\"\n",
		"class: \"read\" may run": strings.Replace(validConfig, "order", "read", 1),
		"deadline_ms: ":           validConfig + "deadline_ms = 70000\n",
		"unknown: framelimit":     validConfig + "framelimit = 1\n",
		"method[0].name: ":        validConfig + "[[method]]\nclass = \"order\"\n",
		"method[0].class: ":       validConfig + "[[method]]\nname = \"m\"\nclass = \"none\"\n",
		"method[0].key: ":         method("key = \"1.x\"\n"),
		"longer than":             method("key = \"1.2.3.4.5.6.7.8.9\"\n"),
		"method[0].deadline: ":    method("deadline = \"70000\"\n"),
		"method[0].deadline_ms: ": method("deadline_ms = -5\n"),
		"method[1].name: ":        method("") + "[[method]]\nname = \"m\"\nclass = \"order\"\n",
		"different paths": method("key = \"1\"\n") + "[[method]]\nname = \"a\"\nclass = \"order\"\nkey = \"2\"\ndeadline = \"3\"\n" +
			"[[method]]\nname = \"b\"\nclass = \"order\"\nkey = \"4\"\ndeadline = \"5\"\n",
	} {
		if err := load(text); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("the error does not name %s: %v", key, err)
		}
	}
}

// The shipped file is valid, and methods are found by complete name, service and bare name.
func TestShippedConfig(t *testing.T) {
	c, err := Load("../../../deploy/thrift.toml")
	if err != nil {
		t.Fatal(err)
	}
	table, err := c.Table(testClasses)
	if err != nil {
		t.Fatal(err)
	}
	for name, class := range map[string]int{"Orders:place": 2, "Bulletins:send": 1, "Bulletins:hint": 0, "place": 2, "Other:thing": 2} {
		if m := table.find([]byte(name)); m == nil || m.class != class {
			t.Errorf("%s: %+v, want class %d", name, m, class)
		}
	}
	c.Method = append(c.Method, MethodConfig{Name: "Other:*", Class: "read"})
	if table, err = c.Table(testClasses); err != nil || table.find([]byte("Other:thing")).class != 0 {
		t.Errorf("a table with a complete service: %v", err)
	}
}

// The affinity key depends on the value and not on its position in the message; different values have
// different keys.
func TestAffinityKey(t *testing.T) {
	msg := []byte("xxkeyxx")
	field := thriftwire.Field{Found: true, Start: 2, End: 5, Type: thriftwire.String}
	number := thriftwire.Field{Found: true, Type: thriftwire.I64, Int: ^uint64(0)}
	if affinityKey(msg, &field) == 0 || affinityKey(msg, &field) != affinityKey([]byte("yykey"), &field) || affinityKey(msg, &number) == affinityKey(msg, &field) {
		t.Error("the same keys differ, or different ones are the same")
	}
	if affinityKey(msg, &thriftwire.Field{}) != 0 || affinityKey(msg, &thriftwire.Field{Found: true, Type: thriftwire.String}) != 0 {
		t.Error("a field without a value has a key")
	}
}
