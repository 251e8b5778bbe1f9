package slope

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// Point is the value of a benchmark at one input size.
type Point struct{ Size, Value float64 }

// Fit fits value = factor * size^exponent by least squares over the logarithms.
// It skips points whose size or value is not positive.
func Fit(ps []Point) (exponent, factor float64) {
	var n, sx, sy, sxx, sxy float64
	for _, p := range ps {
		if p.Size <= 0 || p.Value <= 0 {
			continue
		}
		x, y := math.Log(p.Size), math.Log(p.Value)
		n, sx, sy, sxx, sxy = n+1, sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	exponent = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return exponent, math.Exp((sy - exponent*sx) / n)
}

// resultLine matches a result line of a benchmark whose name ends in NAME=SIZE.
var resultLine = regexp.MustCompile(`^(Benchmark\S*?/\S*?[a-z]+)=(\d+)(?:-\d+)?\s+\d+\s+(.*)$`)

// ReadBenchmarks reads the output of go test -bench and returns its points by series.
// A series is named by the benchmark without "=SIZE", a blank and the unit.
func ReadBenchmarks(r io.Reader) (map[string][]Point, error) {
	out := map[string][]Point{}
	s := bufio.NewScanner(r)
	for s.Scan() {
		m := resultLine.FindStringSubmatch(s.Text())
		if m == nil {
			continue
		}
		size, err := strconv.ParseFloat(m[2], 64)
		if err != nil {
			return nil, fmt.Errorf("parse size in %q: %w", s.Text(), err)
		}
		fields := strings.Fields(m[3])
		for i := 0; i+1 < len(fields); i += 2 {
			if v, err := strconv.ParseFloat(fields[i], 64); err == nil {
				key := m[1] + " " + fields[i+1]
				out[key] = append(out[key], Point{size, v})
			}
		}
	}
	return out, s.Err()
}

// WriteFits writes the fit of each series that has at least four distinct sizes, sorted by name.
func WriteFits(w io.Writer, all map[string][]Point) error {
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		sizes := map[float64]bool{}
		for _, p := range all[name] {
			sizes[p.Size] = true
		}
		if len(sizes) < 4 {
			continue
		}
		e, f := Fit(all[name])
		if _, err := fmt.Fprintf(w, "%-60s exponent %.2f  factor %.4g\n", name, e, f); err != nil {
			return err
		}
	}
	return nil
}
