package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// route is one route of a configuration.
type route struct {
	prefix, kind string
	timeoutMS    int
	attempts     int
	split        map[string]int // weights by service
}

// configuration returns the body of a configuration.
func configuration(version int, routes []route, services ...string) json.RawMessage {
	var wireRoutes, wireServices []map[string]any
	for i, r := range routes {
		out := map[string]any{
			"name": fmt.Sprint("r", i), "hostname": host, "path-prefix": r.prefix, "route-type": r.kind, "timeout-ms": r.timeoutMS,
			"target-latency-ms": 300, "priority": 1, "max-attempts": r.attempts, "allow-anonymous": true, "sticky": false, "resume-streams": false, "target-gap-ms": 600,
		}
		var split []map[string]any
		for name, weight := range r.split {
			split = append(split, map[string]any{"service": name, "weight": weight})
		}
		out["traffic-split"] = split
		wireRoutes = append(wireRoutes, out)
	}
	for _, s := range services {
		wireServices = append(wireServices, map[string]any{"name": s, "health-path": "/health", "max-connections": 380, "protocol": "h1", "tls": false})
	}
	b, err := json.Marshal(map[string]any{
		"version": version, "routes": wireRoutes, "services": wireServices,
		"limits": map[string]int{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	if err != nil {
		panic(err) // plain data always marshals
	}
	return b
}

// configure sends a configuration until it is acknowledged and returns when.
func (w *world) configure(content json.RawMessage, within time.Duration) (time.Duration, error) {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		for _, n := range w.control() {
			status, _, err := callControl(n, http.MethodPut, "/config", content)
			if err == nil && status == http.StatusOK {
				w.recordf("operator: %s acknowledges the configuration", n.name)
				return w.now(), nil
			}
		}
	}
	return 0, fmt.Errorf("no machine acknowledged the configuration")
}
