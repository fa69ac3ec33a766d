package cli

import (
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"fulmarhinge/internal/platform"
	"fulmarhinge/internal/result"
	"fulmarhinge/standin/platform/objectapi"
)

// File contents.
const (
	fleetFile = `{"services": [{"version": 0, "value": {"name": "painel", "divided_by_key": true, "shards": 16}}],
  "routes": [{"version": 0, "value": {"name": "painel", "path_prefix": "/painel/", "service": "painel",
    "customer_header": "Customer", "key_segment": 2}}],
  "contracts": [{"version": 0, "value": ` + shopFile + `}]}`
	shopFile = `{"customer": "shop", "total": {"requests_per_second": 100, "burst": 20, "max_waiting": 10, "max_time": "2s"}}`
)

// writeFiles writes the files that the command lines name and returns their
// directory.
func writeFiles(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	contents := map[string]string{
		"fleet.json":     fleetFile,
		"shop.json":      shopFile,
		"shop-v1.json":   `{"version": 1, "value": ` + strings.Replace(shopFile, "100", "200", 1) + `}`,
		"bad-field.json": strings.Replace(shopFile, "burst", "bursts", 1),
		"bad-time.json":  strings.Replace(shopFile, `"2s"`, "2", 1),
		"bad-rate.json":  strings.Replace(shopFile, "100", "-1", 1),
		"two.json":       shopFile + shopFile,
		"shards.json":    `{"name": "painel", "divided_by_key": true, "shards": 32}`,
		"not-json.json":  `shop`,
	}
	for name, content := range contents {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// commandLine is a command line with its expected exit code and outputs.
type commandLine struct {
	args   string
	code   result.ExitCode
	out    string
	errOut string
}

// runAll runs command lines in order, with DIR and URL replaced by the
// directory of the files and the URL of the platform.
func runAll(t *testing.T, url string, lines []commandLine) {
	t.Helper()
	replacer := strings.NewReplacer("DIR", writeFiles(t), "URL", url)
	for _, l := range lines {
		code, out, errOut := execute(strings.Fields(replacer.Replace(l.args + " --platform URL"))...)
		if code != l.code || !strings.Contains(out, l.out) || !strings.Contains(errOut, l.errOut) {
			t.Errorf("%s: exit code %d, want %d\n%s%s", l.args, code, l.code, out, errOut)
		}
	}
}

// startPlatform serves an empty in-memory platform.
func startPlatform(t *testing.T) (*platform.Memory, string) {
	t.Helper()
	m := platform.NewMemory()
	server := httptest.NewServer(objectapi.New(m))
	t.Cleanup(server.Close)
	return m, server.URL
}

func TestEditingCommands(t *testing.T) {
	_, url := startPlatform(t)
	runAll(t, url, []commandLine{
		{"contract list", result.ExitOK, "revision 0", ""},
		{"contract get shop", result.ExitFailure, "", `no contract "shop"`},
		{"config apply --file DIR/fleet.json --wait", result.ExitOK, "in force on all 0 nodes", ""},
		{"contract get shop", result.ExitOK, "shop", ""},
		{"contract get shop --output json", result.ExitOK, `"version": 1`, ""},
		{"route list", result.ExitOK, "/painel/", ""},
		{"service list --output json", result.ExitOK, `"shards": 16`, ""},
		{"contract diff --file DIR/shop-v1.json", result.ExitOK, "total.requests_per_second  100      200", ""},
		{"contract set --file DIR/shop-v1.json", result.ExitOK, "accepted as revision 2", ""},
		{"contract set --file DIR/shop.json --version 1", result.ExitConflict, "", "version 1, the present one is version 2"},
		{"contract set --file DIR/shop.json --version 2", result.ExitOK, "accepted as revision 3", ""},
		{"contract delete shop --version 2", result.ExitConflict, "", "version 2, the present one is version 3"},
		{"contract delete shop --version 3", result.ExitOK, "accepted as revision 4", ""},
		{"contract delete shop --version 0", result.ExitInvalid, "", "of a contract that exists"},
		{"config changes", result.ExitOK, "4         ", ""},
		{"config sweep", result.ExitOK, "removed 0 parts", ""},
	})
}

func TestInvalidFilesAreRejected(t *testing.T) {
	_, url := startPlatform(t)
	runAll(t, url, []commandLine{
		{"config apply --file DIR/fleet.json", result.ExitOK, "accepted as revision 1", ""},
		{"contract set --file DIR/shop.json", result.ExitUsage, "", "expected --version"},
		{"contract set --version 1", result.ExitUsage, "", "expected --file"},
		{"contract delete shop", result.ExitUsage, "", "expected --version"},
		{"contract set --file DIR/none.json --version 1", result.ExitUsage, "", "no such file"},
		{"contract set --file DIR/shop-v1.json --version 7", result.ExitUsage, "", "--version is 7"},
		{"contract set --file DIR/bad-field.json --version 1", result.ExitInvalid, "", "bursts"},
		{"contract set --file DIR/bad-time.json --version 1", result.ExitInvalid, "", "duration with its unit"},
		{"contract set --file DIR/bad-rate.json --version 1", result.ExitInvalid, "", `contracts["shop"].total.requests_per_second: expected`},
		{"contract set --file DIR/two.json --version 1", result.ExitInvalid, "", "JSON"},
		{"contract set --file DIR/not-json.json --version 1", result.ExitInvalid, "", "JSON object"},
		{"service set --file DIR/shards.json --version 1", result.ExitInvalid, "", "never changes"},
		{"service delete painel --version 1", result.ExitInvalid, "", `routes["painel"].service`},
		{"contract list", result.ExitOK, "revision 1", ""},
	})
}

func TestConcurrentChangesYieldOneConflict(t *testing.T) {
	m, url := startPlatform(t)
	runAll(t, url, []commandLine{{"config apply --file DIR/fleet.json", result.ExitOK, "revision 1", ""}})
	m.SetSwitches(platform.Switches{SlowMs: 10})
	dir := writeFiles(t)
	codes := make(chan result.ExitCode, 2)
	for range 2 {
		go func() {
			code, _, errOut := execute("contract", "set", "--file", filepath.Join(dir, "shop-v1.json"), "--platform", url)
			if code == result.ExitConflict && !strings.Contains(errOut, "version 1, the present one is version 2") {
				t.Errorf("message %q does not name both versions", errOut)
			}
			codes <- code
		}()
	}
	if a, b := <-codes, <-codes; a+b != result.ExitOK+result.ExitConflict {
		t.Errorf("exit codes %d and %d, want one conflict", a, b)
	}
}

func TestChangeUnderPlatformFaults(t *testing.T) {
	m, url := startPlatform(t)
	set := "contract set --file DIR/shop.json --version 0 --timeout 400ms"
	m.SetSwitches(platform.Switches{Down: true})
	runAll(t, url, []commandLine{{set, result.ExitUnreachable, "", "unavailable"}})
	m.SetSwitches(platform.Switches{LoseRequests: 1000})
	// The parts of this change could not be written, so it was not accepted.
	runAll(t, url, []commandLine{{set, result.ExitUnreachable, "", "unavailable"}})
	m.SetSwitches(platform.Switches{LoseResponses: 2})
	runAll(t, url, []commandLine{{set, result.ExitOK, "accepted as revision 1", ""}})
}

func TestWaitReportsLaggingNodes(t *testing.T) {
	f := newFleet(t)
	f.b.status.RevisionInForce = 0
	runAll(t, f.url, []commandLine{
		{"contract set --file DIR/shop.json --version 0 --wait=300ms", result.ExitTimeout, "b lags: revision 0", "b has revision 0, c does not answer"},
		{"evict c", result.ExitOK, "", ""},
	})
	f.b.status.RevisionInForce = 2
	code, out, _ := execute("contract", "delete", "shop", "--version", "1", "--wait", "--output", "json", "--platform", f.url)
	var r changeResult
	if err := json.Unmarshal([]byte(out), &r); err != nil || code != result.ExitOK {
		t.Fatalf("exit code %d, %v: %s", code, err, out)
	}
	if r.Revision != 2 || r.InForce == nil || !r.InForce.Everywhere || r.InForce.NodesInForce != 2 || !r.InForce.WithinBudget {
		t.Errorf("got %s", out)
	}
}
