package page

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRewrite(t *testing.T) {
	file := filepath.Join(t.TempDir(), "page.md")
	require.NoError(t, os.WriteFile(file, []byte("head\n"+beginMarker+"\nold\n"+endMarker+"\ntail\n"), 0o600))
	require.NoError(t, New(file).Rewrite([]byte("new\n")))
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, "head\n"+beginMarker+"\n\nnew\n\n"+endMarker+"\ntail\n", string(text))

	require.NoError(t, os.WriteFile(file, []byte("no marks"), 0o600))
	var markerErr *MarkerError
	require.ErrorAs(t, New(file).Rewrite(nil), &markerErr)
}
