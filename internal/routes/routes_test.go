package routes

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

func route(name, host, prefix string, shares ...Share) Route {
	if len(shares) == 0 {
		shares = []Share{{"s", 1}}
	}
	return Route{Name: name, Host: host, Prefix: prefix, Timeout: time.Second, Shares: shares}
}

// Guards against invalid configurations that are put in force.
func TestInvalid(t *testing.T) {
	services := []Service{{Name: "s"}}
	for _, c := range []struct {
		name string
		cfg  Config
		want string
	}{
		{"unknown service", Config{Services: services, Routes: []Route{route("r", "h", "/a/", Share{"x", 1})}}, "unknown service"},
		{"same place", Config{Services: services, Routes: []Route{route("r", "h", "/a/"), route("q", "H", "/a/")}}, "share host and prefix"},
		{"no weight", Config{Services: services, Routes: []Route{route("r", "h", "/a/", Share{"s", 0})}}, "add up to 0"},
		{"negative weight", Config{Services: services, Routes: []Route{route("r", "h", "/a/", Share{"s", -1}, Share{"s", 2})}}, "weight -1"},
		{"no timeout", Config{Services: services, Routes: []Route{{Name: "r", Host: "h", Prefix: "/", Shares: []Share{{"s", 1}}}}}, "no timeout"},
		{"prefix without a slash", Config{Services: services, Routes: []Route{route("r", "h", "/a")}}, "slash"},
		{"shared key", Config{Organisations: []Organisation{{Name: "a", Keys: []string{"k"}}, {Name: "b", Keys: []string{"k"}}}}, "share a key"},
		{"service twice", Config{Services: []Service{{Name: "s"}, {Name: "s"}}}, "stands twice"},
	} {
		if _, err := New(c.cfg); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want %q", c.name, err, c.want)
		}
	}
}

// Guards against requests that take a shorter prefix, another host's route or one
// that only looks like a prefix.
func TestMatch(t *testing.T) {
	c, err := New(Config{Services: []Service{{Name: "s"}}, Routes: []Route{
		route("short", "h.example", "/a/"), route("long", "h.example", "/a/b/"), route("other", "g.example", "/"),
	}})
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct{ host, path, want string }{
		{"h.example", "/a/x", "short"},
		{"H.example:8080", "/a/b/x", "long"},
		{"h.example", "/a/bc", "short"},
		{"h.example", "/a", ""},
		{"h.example", "/", ""},
		{"g.example", "/a/b/", "other"},
		{"x.example", "/a/", ""},
	} {
		got := ""
		if r := c.Match(x.host, x.path); r != nil {
			got = r.Name
		}
		if got != x.want {
			t.Errorf("%s%s: route %q, want %q", x.host, x.path, got, x.want)
		}
	}
}

// Guards against a split that sends traffic to services of weight 0 or in other
// parts than declared.
func TestPick(t *testing.T) {
	r := route("r", "h", "/", Share{"a", 90}, Share{"none", 0}, Share{"b", 10})
	rnd := rand.New(rand.NewPCG(1, 0))
	got := map[string]int{}
	for range 10_000 {
		got[r.Pick(rnd)]++
	}
	if got["none"] > 0 || got["b"] < 800 || got["b"] > 1200 {
		t.Errorf("picked %v of 10000", got)
	}
}
