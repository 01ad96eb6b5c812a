package routereport

import (
	"cmp"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"unicode"
)

// Write writes the report as text for people.
func (r Report) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format+"\n", args...) } // Flush returns the error
	row("instance\t%s in %s, %s", r.Instance, r.FailureDomain, r.Region)
	row("request\t%s %s%s", printable(r.Method), printable(r.Host), printable(r.Path))
	if r.Workspace != "" {
		row("workspace\t%s", printable(r.Workspace))
	}
	row("configuration\trevision %d, store revision %d, confirmed %.0f ms ago", r.Revision, r.StoreRevision, r.ViewAgeMS)
	if r.Route != nil {
		row("route\t%s", r.Route)
	}
	if len(r.Aggregators) == 0 {
		row("gathered by\tthis instance")
	} else {
		row("gathered by\t%s", strings.Join(r.Aggregators, ", "))
	}
	if f := r.Refusal; f != nil {
		row("outcome\t%d: %s; retry after %.0f ms", f.Status, f.Reason, f.RetryAfterMS)
	} else {
		row("outcome\twould be sent: %d of %d services can take it, %d are needed", r.Available, r.ServiceCount, r.Required)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, s := range r.Services {
		if err := s.write(w); err != nil {
			return err
		}
	}
	if omitted := r.ServiceCount - len(r.Services); omitted > 0 {
		_, err := fmt.Fprintf(w, "\nand %d more services\n", omitted)
		return err
	}
	return nil
}

// String describes the route on one line.
func (r *Route) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s (prefix %s), rank %d, objective %.0f ms, timeout %.0f ms, %d attempts, hedge after %.0f ms",
		r.Name, r.Prefix, r.Rank, r.ObjectiveMS, r.TimeoutMS, r.MaxAttempts, r.HedgeMS)
	if r.RunsOnce {
		b.WriteString(", runs once")
	}
	if len(r.Regions) > 0 {
		fmt.Fprintf(&b, ", only in %s", strings.Join(r.Regions, ", "))
	}
	return b.String()
}

func (s Service) write(w io.Writer) error {
	_, _ = fmt.Fprintf(w, "\nservice %s", s.Name)
	if s.Weight > 0 {
		_, _ = fmt.Fprintf(w, ", weight %.3f", s.Weight)
	}
	switch {
	case !s.CanServe:
		_, _ = fmt.Fprint(w, ": no upstream can take a request")
	case s.AvailableInMS > 0:
		_, _ = fmt.Fprintf(w, ": takes requests in %.0f ms", s.AvailableInMS)
	}
	_, _ = fmt.Fprintf(w, "; %.1f extra attempts left\n", s.ExtraAttempts)
	if s.ByLoad {
		_, _ = fmt.Fprintf(w, "  leaving the nearest failure domains: %.2f\n", s.Leaving)
		for _, d := range s.Domains {
			_, _ = fmt.Fprintf(w, "  %s: share %.2f, load %.2f, expected %.1f ms\n", d.Name, d.Share, d.Load, d.ExpectedMS)
		}
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "  upstream\tdomain\tdistance\tstate\tload\tage ms\twork\tin flight\tlatency ms\trank\tcost ms\tchance\tnot used because")
	for _, c := range s.Candidates {
		_, _ = fmt.Fprintf(t, "  %s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%.1f\t%d\t%.1f\t%.2f\t%s\n", c.Upstream, c.Domain, c.Distance, c.State,
			known(c.Load, c.Load >= 0), known(c.LoadAgeMS, c.Load >= 0), known(c.WorkFactor, c.WorkFactor > 0), c.InFlight, c.LatencyMS, c.Rank, c.CostMS,
			c.Chance, cmp.Or(c.RuledOut, "-"))
	}
	return t.Flush()
}

// printable returns the text of a caller without control characters, which a terminal would obey.
func printable(text string) string {
	return strings.Map(func(c rune) rune {
		if !unicode.IsPrint(c) {
			return unicode.ReplacementChar
		}
		return c
	}, text)
}

// known formats a figure, or a dash if it is unknown.
func known(v float64, isKnown bool) string {
	if !isKnown {
		return "-"
	}
	return fmt.Sprintf("%.2f", v)
}
