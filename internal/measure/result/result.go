// Package result reads the lines that Go benchmarks print.
package result

import (
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// Result is the result of one run of one benchmark.
type Result struct {
	Package string
	// Name is the benchmark's name without "Benchmark", the size and the number of processors.
	Name string
	// Size is the number in the last part such as "n=100" or "shards=20" of the name, if HasSize.
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
	sizePart       = regexp.MustCompile(`^(?:[a-z-]+=)?(\d+)$`)
	processorsPart = regexp.MustCompile(`-\d+$`)
)

// Parse reads one line and reports whether it is a benchmark's result.
func Parse(text, pkg string) (Result, bool) {
	fields := strings.Fields(text)
	const least = 4 // name, iterations, one number and its unit
	if len(fields) < least || !strings.HasPrefix(fields[0], "Benchmark") {
		return Result{}, false
	}
	l := Result{Package: pkg}
	l.setName(strings.TrimPrefix(fields[0], "Benchmark"))
	for n := 2; n+1 < len(fields); n += 2 {
		number, err := strconv.ParseFloat(fields[n], 64)
		if err != nil {
			return Result{}, false
		}
		l.Values = append(l.Values, Value{Number: number, Unit: fields[n+1]})
	}
	return l, true
}

func (l *Result) setName(name string) {
	name = processorsPart.ReplaceAllString(name, "")
	parts := strings.Split(name, "/")
	for n := len(parts) - 1; n > 0 && !l.HasSize; n-- {
		found := sizePart.FindStringSubmatch(parts[n])
		if found == nil {
			continue
		}
		l.Size, _ = strconv.ParseFloat(found[1], 64)
		l.HasSize = true
		parts = slices.Delete(parts, n, n+1)
	}
	l.Name = strings.Join(parts, "/")
}
