package fleet

import (
	"fmt"
	"testing"
)

// manyRoutes returns a configuration of routes of one host.
func manyRoutes(n int) Config {
	var routes []Route
	for i := range n {
		routes = append(routes, Route{Name: fmt.Sprint("r", i), Host: "h.example", Prefix: fmt.Sprintf("/p%d/", i)})
	}
	return NewConfig(1, routes, nil, Limits{})
}

func TestRoute(t *testing.T) {
	c := NewConfig(1, []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"}, {Name: "long", Host: "A.example", Prefix: "/x/y/"}, {Name: "other", Host: "b.example", Prefix: "/x/y/"},
	}, nil, Limits{})
	for _, tc := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.EXAMPLE:8080", "/x/y/1", "long"},
		{"b.example", "/x/y/1", "other"},
		{"b.example", "/x/1", ""},
		{"c.example", "/x/1", ""},
	} {
		if r, ok := c.Route(tc.host, tc.path); r.Name != tc.want || ok != (tc.want != "") {
			t.Errorf("%s%s: got route %q", tc.host, tc.path, r.Name)
		}
	}
}

func BenchmarkRoute(b *testing.B) {
	for _, n := range []int{200, 2000, 20000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := manyRoutes(n)
			path := fmt.Sprintf("/p%d/x", n-1)
			for b.Loop() {
				if _, ok := c.Route("h.example", path); !ok {
					b.Fatal("no route")
				}
			}
		})
	}
}
