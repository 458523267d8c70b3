package e2e

import (
	"encoding/json"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/hickoryridge/hickoryridge/examples"
	"github.com/hickoryridge/hickoryridge/internal/standin"
)

// runCtl runs hickoryctl against the first instance and returns its exit code and combined output.
func (c *cluster) runCtl(args ...string) (int, string) {
	c.t.Helper()
	cmd := exec.Command(filepath.Join(filepath.Dir(daemonPath), "hickoryctl"), append([]string{"-control", c.nodes[0].settings.Control}, args...)...)
	out, err := cmd.CombinedOutput()
	if exit, ok := err.(*exec.ExitError); ok {
		return exit.ExitCode(), string(out)
	}
	if err != nil {
		c.t.Fatal(err)
	}
	return 0, string(out)
}

// TestOperatorsCommandLine runs each command of hickoryctl, with valid and invalid input, and
// checks its exit code and output. A drained engine must receive no requests.
func TestOperatorsCommandLine(t *testing.T) {
	c := newCluster(t, 3, 3, false)
	c.addTargets(2, 1, standin.EngineConfig{Speed: 20})
	good := filepath.Join(t.TempDir(), "good.json")
	writeFile(t, good, string(examples.Association))
	bad := filepath.Join(t.TempDir(), "bad.json")
	writeFile(t, bad, `{"number":1,"tenants":[{"name":"a","limit":{"rate":-1}}]}`)
	c.await("the first document to be applied", func() bool {
		code, _ := c.runCtl("apply", good)
		return code == 0
	})
	c.number = 1
	for i := range c.nodes {
		c.awaitReady(i)
	}
	for name, test := range map[string]struct {
		args []string
		code int
		want string
	}{
		"check":            {[]string{"check", good}, 0, "valid, number 1"},
		"check invalid":    {[]string{"check", bad}, 2, "$.tenants[0].limit.rate: is negative"},
		"apply invalid":    {[]string{"apply", bad}, 2, "$.services: want at least one service"},
		"apply again":      {[]string{"apply", good}, 0, "in force everywhere"},
		"missing file":     {[]string{"apply", "absent.json"}, 2, "absent.json"},
		"status":           {[]string{"status"}, 0, "leader i"},
		"status as JSON":   {[]string{"-json", "status"}, 0, `"members"`},
		"targets":          {[]string{"targets"}, 0, "engine-2"},
		"unknown command":  {[]string{"explode"}, 2, "usage:"},
		"unknown receipt":  {[]string{"receipt", "tobago", "desk", "none"}, 1, "not_found"},
		"missing argument": {[]string{"apply"}, 2, "usage:"},
	} {
		t.Run(name, func(t *testing.T) {
			code, out := c.runCtl(test.args...)
			if code != test.code || !strings.Contains(out, test.want) {
				t.Errorf("exit %d, want %d and output with %q:\n%s", code, test.code, test.want, out)
			}
		})
	}
	if code, out := c.runCtl("drain", "engine-1"); code != 0 {
		t.Fatalf("drain: exit %d: %s", code, out)
	}
	before := c.engines[0].Served()
	for i := range 9 {
		if err := c.chat(i%3, "Who answers?", 2); err != nil {
			t.Error(err)
		}
	}
	if c.engines[0].Served() != before {
		t.Error("the drained engine received requests")
	}
	if code, out := c.runCtl("undrain", "engine-1"); code != 0 {
		t.Fatalf("undrain: exit %d: %s", code, out)
	}
	var doc struct{ Number int }
	if code, out := c.runCtl("show"); code != 0 || json.Unmarshal([]byte(out), &doc) != nil || doc.Number != 3 {
		t.Errorf("show: exit %d: %s", code, out)
	}
}
