package acceptor

import (
	"testing"

	"crocuswing/internal/config/set"

	"github.com/stretchr/testify/require"
)

// revisionOf returns a small configuration with one failure domain of the given name.
func revisionOf(t *testing.T, revision uint64, domain string) set.Set {
	s, err := set.Parse(revision, map[string][]byte{
		"in-force":         []byte(`{"preset": "p"}`),
		"preset/p":         []byte(`{"name":"p","deadline-ms":500,"answer-policy":"coverage","hedge-quantile":0.9,"hedge-share":0.05,"retry-share":0.1}`),
		"domain/" + domain: []byte(`{"name": "` + domain + `", "region": "r"}`),
	})
	require.NoError(t, err)
	return s
}

// TestAccept checks that a lower revision, and different content of the same revision, are rejected.
func TestAccept(t *testing.T) {
	var a Acceptor
	isNew, err := a.Accept(revisionOf(t, 7, "x"))
	require.NoError(t, err)
	require.True(t, isNew)

	_, err = a.Accept(revisionOf(t, 6, "x"))
	var stale *StaleError
	require.ErrorAs(t, err, &stale)
	require.Equal(t, StaleError{Offered: 6, InForce: 7}, *stale)

	_, err = a.Accept(revisionOf(t, 7, "y"))
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict)
	require.EqualValues(t, 7, a.Current().Revision())

	isNew, err = a.Accept(revisionOf(t, 7, "x"))
	require.NoError(t, err)
	require.False(t, isNew)
	isNew, err = a.Accept(revisionOf(t, 9, "y"))
	require.NoError(t, err)
	require.True(t, isNew)
	require.EqualValues(t, 9, a.Current().Revision())
}
