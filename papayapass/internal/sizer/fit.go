package sizer

// Point is a value measured at a size.
type Point struct {
	Size  float64
	Value float64
}

// Line is a straight line fitted to points.
type Line struct {
	Slope     float64
	Intercept float64
	// R2 is the coefficient of determination.
	R2 float64
}

// At returns the value of the line at a size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// Fit returns the least-squares line through points.
func Fit(points []Point) Line {
	n := float64(len(points))
	var sx, sy, sxx, sxy, syy float64
	for _, p := range points {
		sx += p.Size
		sy += p.Value
		sxx += p.Size * p.Size
		sxy += p.Size * p.Value
		syy += p.Value * p.Value
	}
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	l := Line{Slope: slope, Intercept: (sy - slope*sx) / n}
	if total := syy - sy*sy/n; total > 0 {
		residual := 0.0
		for _, p := range points {
			d := p.Value - l.At(p.Size)
			residual += d * d
		}
		l.R2 = 1 - residual/total
	}
	return l
}
