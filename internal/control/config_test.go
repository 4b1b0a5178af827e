package control

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validSettings = `{"classes":[{"name":"order","aimMs":500,"giveUpMs":1200,"effect":"single_shot","credit":5}],
 "contract":{"askWithinMs":10000,"coldFrom":0.31,"coldMs":8600,"drainGraceMs":250,"fallMultiple":2.5,"tipAfterMs":1000},
 "failureDomains":["east"],"limits":{"maxAttempts":3},"membershipMode":"on_request","replicasOfMe":1,"roundMs":5}`

func load(t *testing.T, text, settings string) (*Config, error) {
	t.Helper()
	dir := t.TempDir()
	for name, body := range map[string]string{"control.toml": text, "settings.json": settings} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(body), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return Load(filepath.Join(dir, "control.toml"))
}

const validConfig = "listen = \"127.0.0.1:18000\"\nsettings = \"settings.json\"\n[roster]\naddr = \"127.0.0.1:8500\"\n"

// The error for an invalid configuration contains the key.
func TestConfigErrorsNameTheKey(t *testing.T) {
	if c, err := load(t, validConfig, validSettings); err != nil || c.Proxies.AckTimeoutMs != 200 || c.XDS.Balancer != "ring_hash" {
		t.Fatalf("error %v, configuration %+v", err, c)
	}
	for key, text := range map[string]string{
		"listen: ":                  strings.Replace(validConfig, "127.0.0.1:18000", "nowhere", 1),
		"is not on loopback":        strings.Replace(validConfig, "127.0.0.1:18000", "0.0.0.0:18000", 1),
		"admin: ":                   "admin = \"0.0.0.0:1\"\n" + validConfig,
		"service: ":                 "service = \"a/b\"\n" + validConfig,
		"settings: no file given":   strings.Replace(validConfig, "settings = \"settings.json\"\n", "", 1),
		"settings: open":            strings.Replace(validConfig, "settings.json", "none.json", 1),
		"roster.addr: ":             strings.Replace(validConfig, "127.0.0.1:8500", "", 1),
		"unknown: proxies.mots":     validConfig + "[proxies]\nmots = 3\n",
		"proxies.most: ":            validConfig + "[proxies]\nmost = 0\n",
		"proxies.stall_after_ms: ":  validConfig + "[proxies]\nstall_after_ms = 1\n",
		"proxies.debounce_ms: ":     validConfig + "[proxies]\ndebounce_ms = nan\n",
		"proxies.linger_ms: ":       validConfig + "[proxies]\nlinger_ms = -1\n",
		"evidence.lapse_ms: ":       validConfig + "[evidence]\nlapse_ms = 1\n",
		"line 6: proxies.most":      validConfig + "[proxies]\nmost = \"many\"\n",
		"xds.balancer: ":            validConfig + "[xds]\nbalancer = \"random\"\n",
		"xds.affinity_header: ":     validConfig + "[xds]\naffinity_header = \"a b\"\n",
		"xds.listen: ":              validConfig + "[xds]\nlisten = \"x\"\n",
		"tls.cert and tls.key":      validConfig + "[tls]\ncert = \"x\"\n",
		"tls.client_ca: ":           validConfig + "[tls]\nclient_ca = \"x\"\n",
		"node: given without":       validConfig + "[[node]]\ncertificate = \"x\"\nids = [\"y\"]\n",
		"tls.reload_s: ":            validConfig + "[tls]\nreload_s = 0\n",
		"roster.stale_after_ms: ":   validConfig + "stale_after_ms = 5\n",
		"proxies.ends_per_s: ":      validConfig + "[proxies]\nends_per_s = inf\n",
		"proxies.names_most: ":      validConfig + "[proxies]\nnames_most = 1\n",
		"proxies.heartbeat_s: ":     validConfig + "[proxies]\nheartbeat_s = -1\n",
		"settings: classes[0].aimM": "",
	} {
		settings := validSettings
		if text == "" {
			text, settings = validConfig, strings.Replace(validSettings, `"aimMs":500`, `"aimMs":0`, 1)
		}
		if _, err := load(t, text, settings); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("the error does not name %s: %v", key, err)
		}
	}
}

// The shipped configuration is valid.
func TestShippedConfigIsValid(t *testing.T) {
	if _, err := Load("../../deploy/control.toml"); err != nil {
		t.Error(err)
	}
}
