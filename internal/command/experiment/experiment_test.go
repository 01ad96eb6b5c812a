package experiment

import (
	"bytes"
	"flag"
	"testing"

	"crocuswing/internal/experiment/pattern"

	"github.com/google/subcommands"
	"github.com/stretchr/testify/require"
)

func run(t *testing.T, args ...string) (status subcommands.ExitStatus, stdout, stderr string) {
	var out, errs bytes.Buffer
	c := New(&out, &errs)
	f := flag.NewFlagSet("experiment", flag.ContinueOnError)
	c.SetFlags(f)
	require.NoError(t, f.Parse(args))
	return c.Execute(t.Context(), f), out.String(), errs.String()
}

func TestUsage(t *testing.T) {
	for _, args := range [][]string{{"-pattern", "none"}, {"-time", "0s"}, {"more"}} {
		status, _, stderr := run(t, args...)
		require.Equal(t, subcommands.ExitUsageError, status)
		require.Contains(t, stderr, "want the name of a pattern")
	}
}

// TestTable plays one pattern for a moment and looks at the shape of what is printed, not at its figures.
func TestTable(t *testing.T) {
	status, stdout, _ := run(t, "-pattern", "slow-replica", "-time", "300ms", "-plot")
	require.Equal(t, subcommands.ExitSuccess, status)
	require.Contains(t, stdout, "slow-replica: one upstream of every seventh service is slow; 22 requests a second\n")
	require.Regexp(t, `policy +served +in objective +whole +worth +p50 +p99 +refused +extra`, stdout)
	require.Regexp(t, `\n +tier +[01]\.\d{3}`, stdout)
	require.Regexp(t, `\n +naive +[01]\.\d{3}`, stdout)
	require.Regexp(t, `\n +0\.0 s +tier \|#* *\| [01]\.\d\d +naive \|#* *\| [01]\.\d\d\n`, stdout)
}

// TestPatterns names each pattern once, and the help names all.
func TestPatterns(t *testing.T) {
	seen := make(map[string]bool)
	help := New(nil, nil).Usage()
	for _, p := range pattern.All() {
		require.False(t, seen[p.Name], p.Name)
		seen[p.Name] = true
		require.Contains(t, help, p.Name)
		require.Positive(t, p.PerSecond)
		require.NotZero(t, p.Topology().Services)
	}
}
