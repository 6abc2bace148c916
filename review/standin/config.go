package main

const (
	testHost = "ficu95.example"
	testKey  = "i9n73hh2b9wu3fexd9dn"
)

// plainConfig returns a configuration with one plain service and a safe and an unsafe route
// to it, like those of the order application.
func plainConfig(version int) map[string]any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "hostname": testHost, "path-prefix": prefix, "route-type": kind, "timeout-ms": 800, "target-latency-ms": 300,
			"priority": 2, "service": "auftrag-app", "max-attempts": attempts, "allow-anonymous": false, "sticky": false, "resume-streams": false,
		}
	}
	return map[string]any{
		"version":  version,
		"routes":   []any{route("r-status", "/status/", "safe", 2), route("r-release", "/release/", "unsafe", 1)},
		"services": []any{map[string]any{"name": "auftrag-app", "health-path": "/health", "max-connections": 120, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "api-keys": []string{testKey}, "priority": 1}},
	}
}
