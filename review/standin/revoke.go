package main

import (
	"fmt"
	"maps"
	"time"
)

// runRevoke: a key is taken away. Requests with it go on being run on a route that also
// serves requests without a key.
func runRevoke(rec *record, trouble bool) (verdict, error) {
	const revokedKey = "n2ctnfzs989anu6wsjnb"
	c, err := newCluster(rec, 4, 2, false)
	if err != nil {
		return verdict{}, err
	}
	defer c.close()
	if err := c.startAll(); err != nil {
		return verdict{}, err
	}
	config := func(version int, keys ...string) map[string]any {
		cfg := plainConfig(version)
		for _, r := range cfg["routes"].([]any) {
			if r := r.(map[string]any); r["name"] == "r-status" {
				r["allow-anonymous"] = true
			}
		}
		tenant := maps.Clone(cfg["tenants"].([]any)[0].(map[string]any))
		tenant["api-keys"] = keys
		cfg["tenants"] = []any{tenant}
		return cfg
	}
	if err := c.configure(config(1, testKey, revokedKey), 10*time.Second); err != nil {
		return verdict{}, err
	}
	if err := c.awaitReady(10 * time.Second); err != nil {
		return verdict{}, err
	}
	var engines []*engine
	for i, zone := range zones {
		e, err := c.startEngine(fmt.Sprintf("i-%08x", 0x7f3a9100+i), "auftrag-app", "v1", zone, 20*time.Millisecond, nil)
		if err != nil {
			return verdict{}, err
		}
		defer e.close()
		engines = append(engines, e)
	}
	time.Sleep(3 * time.Second)
	k := c.newClients(testHost, revokedKey)
	k.run(50, 1500*time.Millisecond, "/status/1", "/status/2", "/release/1")
	time.Sleep(stableWindow + time.Second)
	kept := []string{testKey, revokedKey}
	if trouble {
		kept = kept[:1]
	}
	if err := c.configure(config(2, kept...), 10*time.Second); err != nil {
		return verdict{}, err
	}
	acked := time.Now()
	rec.lineAt(acked, "operator: version 2 is acknowledged; its keys are %v", kept)
	time.Sleep(configApply + 4*time.Second)
	k.stop()
	k.dump(engines...)
	served := map[string]int{}
	for _, e := range engines {
		for _, a := range e.received() {
			if s, ok := k.find(a.id); ok && s.at.After(acked.Add(configApply)) {
				served[s.path]++
			}
		}
	}
	n := 0
	for _, x := range served {
		n += x
	}
	reason := fmt.Sprintf("%d requests with the key, sent later than config-apply-ms after version 2 was acknowledged, ran: %v", n, served)
	if !trouble {
		return verdict{broken: n == 0, reason: reason + "; the key is not taken away"}, nil
	}
	return verdict{broken: n > 0, reason: reason}, nil
}
