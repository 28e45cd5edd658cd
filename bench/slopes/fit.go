package slopes

// fit returns the least-squares line through each figure of the points. All points must
// have the same figures.
func fit(points []Point) []Slope {
	if len(points) == 0 {
		return nil
	}
	slopes := make([]Slope, len(points[0].Figures))
	for f, figure := range points[0].Figures {
		slopes[f] = fitFigure(points, f)
		slopes[f].Figure, slopes[f].Unit = figure.Name, figure.Unit
	}
	return slopes
}

func fitFigure(points []Point, f int) Slope {
	meanX, meanY := means(points, f)
	var xx, xy, yy float64
	for _, p := range points {
		dx, dy := p.X-meanX, p.Figures[f].Value-meanY
		xx += dx * dx
		xy += dx * dy
		yy += dy * dy
	}
	if xx == 0 {
		return Slope{AtZero: meanY}
	}
	s := Slope{PerUnit: xy / xx}
	s.AtZero = meanY - s.PerUnit*meanX
	if yy > 0 {
		s.R2 = xy * xy / (xx * yy)
	}
	return s
}

func means(points []Point, f int) (x, y float64) {
	for _, p := range points {
		x += p.X
		y += p.Figures[f].Value
	}
	n := float64(len(points))
	return x / n, y / n
}
