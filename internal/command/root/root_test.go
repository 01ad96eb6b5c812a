package root

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const settings = `{
	"instance": "south-1", "failure-domain": "south-a", "region": "south",
	"caller-address": "127.0.0.1:7001", "peer-address": "127.0.0.1:7002",
	"operator-address": "127.0.0.1:7003", "platform-address": "127.0.0.1:7000",
	"ticket-key": "0123456789abcdef", // shared by all instances
}`

const configuration = `{
	"revision": 1,
	"values": {
		"in-force": {"preset": "ordinary"},
		"preset/ordinary": {"name": "ordinary", "deadline-ms": 1000, "answer-policy": "coverage",
			"hedge-quantile": 0.95, "hedge-share": 0.05, "retry-share": 0.1},
	},
}`

func write(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "file.json")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

func TestExitCodes(t *testing.T) {
	cases := []struct {
		name   string
		args   []string
		code   int
		stdout string
		stderr string
	}{
		{"no command", nil, 2, "", "a command is missing"},
		{"unknown flag", []string{"version", "-x"}, 2, "", "flag provided but not defined: -x"},
		{"version", []string{"version"}, 0, "crocuswing ", ""},
		{"help", []string{"help", "demo"}, 0, "-faults", ""},
		{"serve without settings", []string{"serve"}, 2, "", "want -settings FILE"},
		{"serve missing file", []string{"serve", "-settings", "absent.json"}, 1, "", "absent.json:1: no such file or directory"},
		{"check nothing", []string{"check"}, 2, "", "want at least one FILE"},
		{"check settings", []string{"check", write(t, settings)}, 0, ": valid", ""},
		{"check bad settings", []string{"check", write(t, strings.Replace(settings, "7002", "x", 1))}, 1, "", "file.json:3: peer-address: want an IP literal"},
		{"check configuration", []string{"check", write(t, configuration)}, 0, ": valid", ""},
		{"check bad preset", []string{"check", write(t, strings.Replace(configuration, `"ordinary"}`, `"peak"}`, 1))}, 1, "", `names preset "peak", which does not exist`},
		{"check bad share", []string{"check", write(t, strings.Replace(configuration, "0.05", "5", 1))}, 1, "", "hedge-share is 5, want 0 to 1"},
		{"status host name", []string{"status", "-addr", "localhost:1"}, 2, "", "want -addr IP:PORT"},
		{"route host name", []string{"route", "-addr", "localhost:1", "-host", "h", "-path", "/"}, 2, "", "want -addr IP:PORT"},
		{"route without path", []string{"route", "-addr", "127.0.0.1:1", "-host", "h"}, 2, "", "-path with a leading slash"},
		{"explain nothing", []string{"explain"}, 2, "", "identifier of the request is missing"},
		{"explain unknown request", []string{"explain", "q", write(t, "{}")}, 1, "", `no log line of request "q" was found`},
		{"explain missing file", []string{"explain", "q", "absent.log"}, 1, "", "absent.log"},
		{"explain", []string{"explain", "q", write(t, `{"msg":"request","request-id":"q","status":503,"reason":"no time is left"}`)}, 0, "answered 503 after 0 ms: no time is left", ""},
		{"load without address", []string{"load"}, 2, "", "want -addr IP:PORT"},
		{"standin without directory", []string{"standin"}, 2, "", "want -dir DIR"},
		{"demo negative", []string{"demo", "-queries", "-1"}, 2, "", "want counts of at least 0"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			require.Equal(t, tc.code, Run(tc.args, &stdout, &stderr), stderr.String())
			require.Contains(t, stdout.String(), tc.stdout)
			require.Contains(t, stderr.String(), tc.stderr)
		})
	}
}
