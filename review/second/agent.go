//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"path/filepath"
	"time"

	"ringtrack.example/ringtrack/internal/membership"
)

// settings are those of a small deployment with one class of each effect.
const settings = `{
 "classes": [
  {"name": "read", "aimMs": 200, "giveUpMs": 800, "effect": "free", "credit": 1, "lateShare": 0.2},
  {"name": "send", "aimMs": 300, "giveUpMs": 600, "effect": "guarded", "group": "all", "keyTtlMs": 1200, "credit": 2, "lateShare": 0.2},
  {"name": "order", "aimMs": 500, "giveUpMs": 1200, "effect": "single_shot", "credit": 5, "lateShare": 0.2}
 ],
 "contract": {"answerSlackMs": 20, "askWithinMs": 10000, "coldFrom": 0.31, "coldMs": 8600, "drainGraceMs": 250, "fallMultiple": 2.5, "tipAfterMs": 1000},
 "failureDomains": ["east"],
 "limits": {"cancelling": true, "connectTimeoutMs": 150, "keepaliveMs": 30000, "maxAttempts": 3, "maxRetryAfterMs": 600, "openCap": 10000, "retryAfter": true},
 "membershipMode": "on_request",
 "objectiveMix": {"whole": 1},
 "replicasOfMe": 1,
 "roundMs": 5,
 "shapes": ["fast"],
 "weights": "nominal",
 "worthBy": "request"
}`

// agent is one agent: its addresses, its configuration and its process.
type agent struct {
	name, listen, admin, config, tmp string
	env                              []string
	proc                             *proc
	starts                           int
}

func (r *rig) newAgent(name, discovery string, env ...string) *agent {
	a := &agent{name: name, listen: r.freeAddr(), admin: r.freeAddr(), tmp: filepath.Join(r.tmp, "tmp-"+name)}
	a.config = r.write(name+".json", r.agentConfig(a, discovery))
	r.write("tmp-"+name+"/empty", "")
	a.env = append([]string{"PROXY_NAME=" + name, "PROXY_CONFIG=" + a.config, "TMPDIR=" + a.tmp}, env...)
	return a
}

func (r *rig) agentConfig(a *agent, discovery string) string {
	text, err := json.Marshal(map[string]any{
		"name": a.name, "listen": a.listen, "discovery": discovery, "seed": "8c1f30d27a5be964", "admin_addr": a.admin,
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":    map[string]any{"version": 0, "full": true, "servers": []any{}},
		"settings": json.RawMessage(settings),
	})
	r.must(err)
	return string(text)
}

// startAgent starts a process of the agent with the run command of the deploy file.
func (r *rig) startAgent(a *agent) *proc {
	a.starts++
	p := r.startProc(fmt.Sprintf("%s-%d", a.name, a.starts), "exec bin/ringtrack", append(a.env, "PROXY_ADMIN_ADDR="+a.admin)...)
	a.proc = p
	return p
}

func (a *agent) ready() bool {
	resp, err := quickClient.Get("http://" + a.listen + "/-/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// healthy reports whether the process says yes at its second address.
func (a *agent) healthy() bool {
	resp, err := quickClient.Get("http://" + a.admin + "/admin/health")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (r *rig) startAgentReady(a *agent) {
	r.startAgent(a)
	if !await(15*time.Second, a.ready) {
		r.fail("%s is not ready: %s", a.name, a.proc.lastLog(5))
	}
	r.log("%s is ready", a.name)
}

// door makes an operator's call at the agent's second address.
func (a *agent) door(call, server string) (int, error) {
	req, err := http.NewRequest(http.MethodPut, "http://"+a.admin+"/admin/"+call+"?name="+url.QueryEscape(server), nil)
	if err != nil {
		return 0, err
	}
	resp, err := (&http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0, err
	}
	resp.Body.Close()
	return resp.StatusCode, nil
}

// agreed writes the file that names the keepers.
func (r *rig) agreed(keepers []*keeper, onLapse string) string {
	text := "keepers = ["
	for _, k := range keepers {
		text += fmt.Sprintf("%q, ", k.addr)
	}
	return r.write("agreed.toml", text+fmt.Sprintf("]\npeers = []\ncall_ms = 400\nwait_ms = 500\non_lapse = %q\n", onLapse))
}

func entry(id, addr string) membership.Entry {
	return membership.Entry{ID: id, Addr: addr, Zone: "east", Kind: "fast", State: membership.Up, Weight: 1}
}
