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

// Point is one measurement at a size.
type Point struct{ Size, Value float64 }

// Fit returns the exponent and factor of value = factor * size^exponent by least
// squares over the logarithms. Points that are not positive are left out.
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

// series matches a result line whose last name part is NAME=SIZE.
var series = regexp.MustCompile(`^(Benchmark\S*?/\S*?[a-z]+)=(\d+)(?:-\d+)?\s+\d+\s+(.*)$`)

// ReadBenchmarks collects the points of every benchmark and unit from the output of go test -bench.
func ReadBenchmarks(r io.Reader) (map[string][]Point, error) {
	out := map[string][]Point{}
	s := bufio.NewScanner(r)
	for s.Scan() {
		m := series.FindStringSubmatch(s.Text())
		if m == nil {
			continue
		}
		size, err := strconv.ParseFloat(m[2], 64)
		if err != nil {
			return nil, fmt.Errorf("size of %q: %w", s.Text(), err)
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

// WriteFits writes the fit of every series with at least four sizes, in name order.
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
