// Command measure writes the output of benchmarks, read from standard input, to the generated section of a Markdown page.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"strings"

	"crocuswing/internal/measure/page"
	"crocuswing/internal/measure/result"
	"crocuswing/internal/measure/series"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: go test -bench . ./... | measure FILE")
		os.Exit(2)
	}
	if err := run(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func run(file string) error {
	s := series.New()
	pkg := ""
	input := bufio.NewScanner(os.Stdin)
	for input.Scan() {
		text := input.Text()
		if name, ok := strings.CutPrefix(text, "pkg: crocuswing/internal/"); ok {
			pkg = name
			continue
		}
		if r, ok := result.Parse(text, pkg); ok {
			s.Add(r)
		}
	}
	if err := input.Err(); err != nil {
		return err
	}
	return page.New(file).Rewrite(format(s))
}

func format(s *series.Series) []byte {
	var text bytes.Buffer
	text.WriteString("### Slopes\n\nLeast squares through the medians; the residual is the greatest relative distance from the line.\n\n")
	text.WriteString("| package | benchmark | unit | sizes | slope per n | intercept | residual |\n| --- | --- | --- | ---: | ---: | ---: | ---: |\n")
	for _, f := range s.Slopes() {
		fmt.Fprintf(&text, "| %s | %s | %s | %d | %.4g | %.4g | %.0f%% |\n", f.Package, f.Name, f.Unit, f.Sizes, f.Slope, f.Intercept, 100*f.Residual)
	}
	text.WriteString("\n### Figures\n\n| package | benchmark | n | unit | median | lowest | highest | runs |\n| --- | --- | ---: | --- | ---: | ---: | ---: | ---: |\n")
	for _, r := range s.Rows() {
		size := ""
		if r.HasSize {
			size = fmt.Sprintf("%.0f", r.Size)
		}
		fmt.Fprintf(&text, "| %s | %s | %s | %s | %.4g | %.4g | %.4g | %d |\n", r.Package, r.Name, size, r.Unit, r.Median, r.Min, r.Max, r.Runs)
	}
	return text.Bytes()
}
