package routes

import (
	"slices"
	"testing"
	"time"
)

// Guards against a request that runs in a region which its route or its organisation excludes,
// and against addresses outside of the homes of all requests.
func TestRegions(t *testing.T) {
	for _, c := range []struct {
		name         string
		route, other []string // regions of the route and of its organisation
		anonymous    bool
		want, homes  []string
	}{
		{"none", nil, nil, false, nil, nil},
		{"empty lists", []string{}, []string{}, false, nil, nil},
		{"route", []string{"a", "b"}, nil, false, []string{"a", "b"}, []string{"a", "b"}},
		{"organisation", nil, []string{"b"}, false, []string{"b"}, []string{"b"}},
		{"organisation, and requests without one", nil, []string{"b"}, true, []string{"b"}, nil},
		{"both", []string{"a", "b"}, []string{"b", "c"}, false, []string{"b"}, []string{"b"}},
		{"both, and requests without one", []string{"a", "b"}, []string{"b", "c"}, true, []string{"b"}, []string{"a", "b"}},
		{"nothing in common", []string{"a"}, []string{"b"}, false, []string{}, nil},
	} {
		r := Route{Name: "r", Host: "h", Prefix: "/", Timeout: time.Second, Shares: []Share{{"s", 1}}, Regions: c.route, Anonymous: c.anonymous}
		cfg, err := New(Config{Version: 1, Routes: []Route{r}, Services: []Service{{Name: "s"}}, Organisations: []Organisation{{Name: "o", Keys: []string{"k"}, Regions: c.other}}})
		if err != nil {
			t.Fatal(err)
		}
		if got := cfg.Routes[0].RegionsFor(cfg.Organisation("k")); !slices.Equal(got, c.want) || (got == nil) != (c.want == nil) {
			t.Errorf("%s: the request may run in %v, want %v", c.name, got, c.want)
		}
		if got := cfg.Homes(); !slices.Equal(got, c.homes) || (got == nil) != (c.homes == nil) {
			t.Errorf("%s: homes %v, want %v", c.name, got, c.homes)
		}
		if empty, err := New(Config{Version: 1, KeysRequired: true, Services: cfg.Services, Routes: cfg.Routes[:0]}); err != nil || empty.Homes() != nil {
			t.Errorf("%s: without routes the homes are %v, %v", c.name, empty.Homes(), err)
		}
		r.Regions = []string{"a", ""}
		if _, err := New(Config{Version: 1, Routes: []Route{r}, Services: []Service{{Name: "s"}}}); err == nil {
			t.Errorf("%s: a region without a name is accepted", c.name)
		}
	}
}
