// Package fit fits a straight line to measured points by the method of least squares.
package fit

import "math"

// Point is one measured value y at size x.
type Point struct{ X, Y float64 }

// Fit is the line y = Intercept + Slope*x.
type Fit struct {
	Slope     float64
	Intercept float64
	// Residual is the largest relative error: the distance of a point from the line divided by the point's value.
	Residual float64
}

// LeastSquares fits a line to points of at least three different sizes. It returns false if there are fewer sizes.
func LeastSquares(points []Point) (Fit, bool) {
	const minSizes = 3
	n := float64(len(points))
	var sumX, sumY, sumXX, sumXY float64
	sizes := make(map[float64]bool)
	for _, p := range points {
		sizes[p.X] = true
		sumX += p.X
		sumY += p.Y
		sumXX += p.X * p.X
		sumXY += p.X * p.Y
	}
	if len(sizes) < minSizes {
		return Fit{}, false
	}
	f := Fit{Slope: (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)}
	f.Intercept = (sumY - f.Slope*sumX) / n
	for _, p := range points {
		distance := math.Abs(f.Intercept + f.Slope*p.X - p.Y)
		if p.Y != 0 {
			f.Residual = max(f.Residual, distance/math.Abs(p.Y))
		}
	}
	return f, true
}
