// Package result parses the output lines of Go benchmarks.
package result

import (
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// Result holds the figures of one run of one benchmark.
type Result struct {
	Package string
	// Name is the name of the benchmark without the prefix "Benchmark", the size and the number of processors.
	Name string
	// Size is the number in the last element of the name such as "n=100" or "shards=20". It is valid if HasSize is true.
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
	sizePattern       = regexp.MustCompile(`^(?:[a-z-]+=)?(\d+)$`)
	processorsPattern = regexp.MustCompile(`-\d+$`)
)

// Parse parses one output line and reports whether it is the result of a benchmark.
func Parse(text, pkg string) (Result, bool) {
	fields := strings.Fields(text)
	const minFields = 4 // name, iterations, one value and its unit
	if len(fields) < minFields || !strings.HasPrefix(fields[0], "Benchmark") {
		return Result{}, false
	}
	r := Result{Package: pkg}
	r.parseName(strings.TrimPrefix(fields[0], "Benchmark"))
	for n := 2; n+1 < len(fields); n += 2 {
		number, err := strconv.ParseFloat(fields[n], 64)
		if err != nil {
			return Result{}, false
		}
		r.Values = append(r.Values, Value{Number: number, Unit: fields[n+1]})
	}
	return r, true
}

func (r *Result) parseName(name string) {
	name = processorsPattern.ReplaceAllString(name, "")
	parts := strings.Split(name, "/")
	for n := len(parts) - 1; n > 0 && !r.HasSize; n-- {
		match := sizePattern.FindStringSubmatch(parts[n])
		if match == nil {
			continue
		}
		r.Size, _ = strconv.ParseFloat(match[1], 64)
		r.HasSize = true
		parts = slices.Delete(parts, n, n+1)
	}
	r.Name = strings.Join(parts, "/")
}
