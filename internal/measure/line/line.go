// Package line reads the lines that Go benchmarks print.
package line

import (
	"regexp"
	"strconv"
	"strings"
)

// Line is the result of one run of one benchmark.
type Line struct {
	Package string
	// Name is the benchmark's name without "Benchmark", the size and the number of processors.
	Name string
	// Size is the number in a part such as "n=100" or "shards=20" of the name, and HasSize tells whether there is one.
	Size    float64
	HasSize bool
	Values  []Value
}

// Value is one figure with its unit, such as 31.5 and "ns/op".
type Value struct {
	Number float64
	Unit   string
}

var (
	sizePart       = regexp.MustCompile(`(?:^|/)n=(\d+)(?:/|$)`)
	processorsPart = regexp.MustCompile(`-\d+$`)
)

// Parse reads one line and reports whether it is a benchmark's result.
func Parse(text, pkg string) (Line, bool) {
	fields := strings.Fields(text)
	const least = 4 // name, iterations, one number and its unit
	if len(fields) < least || !strings.HasPrefix(fields[0], "Benchmark") {
		return Line{}, false
	}
	l := Line{Package: pkg}
	l.setName(strings.TrimPrefix(fields[0], "Benchmark"))
	for n := 2; n+1 < len(fields); n += 2 {
		number, err := strconv.ParseFloat(fields[n], 64)
		if err != nil {
			return Line{}, false
		}
		l.Values = append(l.Values, Value{Number: number, Unit: fields[n+1]})
	}
	return l, true
}

func (l *Line) setName(name string) {
	name = processorsPart.ReplaceAllString(name, "")
	found := sizePart.FindStringSubmatchIndex(name)
	if found == nil {
		l.Name = name
		return
	}
	l.Size, _ = strconv.ParseFloat(name[found[2]:found[3]], 64)
	l.HasSize = true
	rest := strings.TrimPrefix(name[found[3]:], "/")
	l.Name = strings.TrimSuffix(name[:found[0]]+"/"+rest, "/")
}
