package routes

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

func newRoute(name, host, prefix string, shares ...Share) Route {
	if len(shares) == 0 {
		shares = []Share{{"s", 1}}
	}
	return Route{Name: name, Host: host, Prefix: prefix, Timeout: time.Second, Shares: shares}
}

// Guards against accepting invalid configurations.
func TestInvalid(t *testing.T) {
	services := []Service{{Name: "s"}}
	for _, c := range []struct {
		name string
		cfg  Config
		want string
	}{
		{"unknown service", Config{Services: services, Routes: []Route{newRoute("r", "h", "/a/", Share{"x", 1})}}, "unknown service"},
		{"same host and prefix", Config{Services: services, Routes: []Route{newRoute("r", "h", "/a/"), newRoute("q", "H", "/a/")}}, "share host and prefix"},
		{"no weight", Config{Services: services, Routes: []Route{newRoute("r", "h", "/a/", Share{"s", 0})}}, "add up to 0"},
		{"negative weight", Config{Services: services, Routes: []Route{newRoute("r", "h", "/a/", Share{"s", -1}, Share{"s", 2})}}, "weight -1"},
		{"no timeout", Config{Services: services, Routes: []Route{{Name: "r", Host: "h", Prefix: "/", Shares: []Share{{"s", 1}}}}}, "no timeout"},
		{"prefix without a slash", Config{Services: services, Routes: []Route{newRoute("r", "h", "/a")}}, "slash"},
		{"shared key", Config{Organisations: []Organisation{{Name: "a", Keys: []string{"k"}}, {Name: "b", Keys: []string{"k"}}}}, "share a key"},
		{"service twice", Config{Services: []Service{{Name: "s"}, {Name: "s"}}}, "stands twice"},
	} {
		if _, err := New(c.cfg); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want %q", c.name, err, c.want)
		}
	}
}

// Guards against matching a shorter prefix, another host's route, or a prefix that does
// not end at a path segment.
func TestMatch(t *testing.T) {
	c, err := New(Config{Services: []Service{{Name: "s"}}, Routes: []Route{
		newRoute("short", "h.example", "/a/"), newRoute("long", "h.example", "/a/b/"), newRoute("other", "g.example", "/"),
	}})
	if err != nil {
		t.Fatal(err)
	}
	for _, req := range []struct{ host, path, want string }{
		{"h.example", "/a/x", "short"},
		{"H.example:8080", "/a/b/x", "long"},
		{"h.example", "/a/bc", "short"},
		{"h.example", "/a", ""},
		{"h.example", "/", ""},
		{"g.example", "/a/b/", "other"},
		{"x.example", "/a/", ""},
	} {
		got := ""
		if r := c.Match(req.host, req.path); r != nil {
			got = r.Name
		}
		if got != req.want {
			t.Errorf("%s%s: route %q, want %q", req.host, req.path, got, req.want)
		}
	}
}

// Guards against a split that sends traffic to services of weight 0 or in other
// proportions than declared.
func TestPick(t *testing.T) {
	r := newRoute("r", "h", "/", Share{"a", 90}, Share{"none", 0}, Share{"b", 10})
	rng := rand.New(rand.NewPCG(1, 0))
	got := map[string]int{}
	for range 10_000 {
		got[r.Pick(rng)]++
	}
	if got["none"] > 0 || got["b"] < 800 || got["b"] > 1200 {
		t.Errorf("picked %v of 10000", got)
	}
}
