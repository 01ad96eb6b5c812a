package process

import (
	"strings"
	"testing"

	"crocuswing/internal/settings/document"

	"github.com/stretchr/testify/require"
)

const valid = `{
	// One instance in the south.
	"instance": "south-1",
	"failure-domain": "south-a",
	"region": "south",
	"caller-address": "127.0.0.1:7001",
	"peer-address": "127.0.0.1:7002",
	"operator-address": "127.0.0.1:7003",
	"platform-address": "127.0.0.1:7000",
	"ticket-key": "0123456789abcdef",
}`

func parse(t *testing.T, text string) (Settings, error) {
	t.Helper()
	doc, err := document.New("s.json", []byte(text))
	if err != nil {
		return Settings{}, err
	}
	return Parse(doc)
}

func TestParseValid(t *testing.T) {
	s, err := parse(t, valid)
	require.NoError(t, err)
	require.Equal(t, "south-1", s.Instance)
	require.Equal(t, "info", s.LogLevel)
}

func TestParseInvalid(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"unknown key", `"region"`, `"regoin"`, `s.json:5: regoin: is not a known key`},
		{"wrong type", `"south-1"`, `7`, `s.json:3: instance: is a number, want string`},
		{"host name", `127.0.0.1:7001`, `localhost:7001`, `s.json:6: caller-address: want an IP literal and a port from 1 to 65535, not localhost:7001`},
		{"duplicate address", `:7002`, `:7001`, `s.json:7: peer-address: is the same address as caller-address`},
		{"port out of range", `:7003`, `:70030`, `s.json:8: operator-address: want an IP literal and a port from 1 to 65535, not 127.0.0.1:70030`},
		{"port zero", `:7003`, `:0`, `s.json:8: operator-address: port 0 is out of range`},
		{"key twice", `"region"`, `"instance"`, `s.json:5: instance: is a duplicate key`},
		{"short key", `0123456789abcdef`, `0123`, `s.json:10: ticket-key: needs at least 16 bytes`},
		{"missing", `"region": "south",`, ``, `s.json:1: region: is missing`},
		{"not json", `"region": "south"`, `"region" "south"`, `s.json:5`},
		{"trailing", "\n}", "\n} {}", `after`},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, err := parse(t, strings.Replace(valid, tc.old, tc.new, 1))
			var docErr *document.Error
			require.ErrorAs(t, err, &docErr)
			require.Contains(t, err.Error(), tc.want)
		})
	}
}
