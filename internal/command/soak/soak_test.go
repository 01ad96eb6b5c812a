package soak

import (
	"bytes"
	"flag"
	"testing"

	"crocuswing/internal/soak/site"

	"github.com/google/subcommands"
	"github.com/stretchr/testify/require"
)

// TestUsage checks that invalid flag values are rejected before anything is started.
func TestUsage(t *testing.T) {
	for _, args := range [][]string{
		{"-seeds", "1,x"},
		{"-seeds", "-1"},
		{"-instances", "0"},
		{"-instances", "251"},
		{"-callers", "0"},
		{"-rate", "0"},
		{"-time", "0s"},
		{"more"},
	} {
		var out, errs bytes.Buffer
		c := New(&out, &errs, func() site.Store { panic("store created despite invalid flags") }, "platform")
		f := flag.NewFlagSet("soak", flag.ContinueOnError)
		c.SetFlags(f)
		require.NoError(t, f.Parse(args))
		require.Equal(t, subcommands.ExitUsageError, c.Execute(t.Context(), f), args)
		require.Contains(t, errs.String(), "crocuswing soak: ")
		require.Empty(t, out.String())
	}
}

func TestSeeds(t *testing.T) {
	drawn, err := (&Command{count: 3}).parseSeeds()
	require.NoError(t, err)
	require.Len(t, drawn, 3)
	given, err := (&Command{count: 3, seeds: "7, 8"}).parseSeeds()
	require.NoError(t, err)
	require.Equal(t, []uint64{7, 8}, given)
}
