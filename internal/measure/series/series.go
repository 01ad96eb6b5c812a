// Package series aggregates the runs of benchmarks into one row per figure.
package series

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"crocuswing/internal/measure/fit"
	"crocuswing/internal/measure/result"
)

// Series collects benchmark results.
type Series struct {
	groups map[key][]point
}

type key struct{ pkg, name, unit string }

type point struct {
	size    float64
	hasSize bool
	value   float64
}

// Row summarizes all runs of one figure of one benchmark at one size.
type Row struct {
	Package, Name, Unit string
	Size                float64
	HasSize             bool
	Median, Min, Max    float64
	Runs                int
}

// Slope is the line fitted to the medians of one figure over its sizes.
type Slope struct {
	Package, Name, Unit string
	Sizes               int
	fit.Fit
}

// New returns an empty series.
func New() *Series { return &Series{groups: make(map[key][]point)} }

// Add adds the result of one run.
func (s *Series) Add(r result.Result) {
	for _, v := range r.Values {
		k := key{r.Package, r.Name, v.Unit}
		s.groups[k] = append(s.groups[k], point{size: r.Size, hasSize: r.HasSize, value: v.Number})
	}
}

// Rows returns all figures, sorted by package, name, unit and size.
func (s *Series) Rows() []Row {
	rows := make([]Row, 0, len(s.groups))
	for _, k := range s.keys() {
		rows = append(rows, rowsOf(k, s.groups[k])...)
	}
	return rows
}

// Slopes returns the fitted lines of all figures with at least three sizes.
func (s *Series) Slopes() []Slope {
	slopes := make([]Slope, 0)
	for _, k := range s.keys() {
		points := make([]fit.Point, 0)
		for _, r := range rowsOf(k, s.groups[k]) {
			points = append(points, fit.Point{X: r.Size, Y: r.Median})
		}
		if f, ok := fit.LeastSquares(points); ok {
			slopes = append(slopes, Slope{Package: k.pkg, Name: k.name, Unit: k.unit, Sizes: len(points), Fit: f})
		}
	}
	return slopes
}

func (s *Series) keys() []key {
	return slices.SortedFunc(maps.Keys(s.groups), func(a, b key) int {
		return cmp.Or(strings.Compare(a.pkg, b.pkg), strings.Compare(a.name, b.name), strings.Compare(a.unit, b.unit))
	})
}

func rowsOf(k key, points []point) []Row {
	bySize := make(map[float64][]float64)
	for _, p := range points {
		bySize[p.size] = append(bySize[p.size], p.value)
	}
	rows := make([]Row, 0, len(bySize))
	for _, size := range slices.Sorted(maps.Keys(bySize)) {
		values := slices.Sorted(slices.Values(bySize[size]))
		rows = append(rows, Row{
			Package: k.pkg,
			Name:    k.name,
			Unit:    k.unit,
			Size:    size,
			HasSize: points[0].hasSize,
			Median:  values[len(values)/2],
			Min:     values[0],
			Max:     values[len(values)-1],
			Runs:    len(values),
		})
	}
	return rows
}
