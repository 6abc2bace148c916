package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// callTimeout is how long a caller of control waits for a response before it turns to the next
// machine.
const callTimeout = time.Second

// http11 is the client of the stand-ins. It keeps no connections, so that each call is on its own.
var http11 = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// call makes one call and returns the status, or 0 without a response.
func call(ctx context.Context, method, url, body string) (status int, content string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http11.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(b)
}

const (
	host    = "orders.example"
	service = "order-desk"
	apiKey  = "n2ctnfzs989anu6wsjnb"
)

// config returns a valid configuration with one route.
func config(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-status","hostname":%q,"path-prefix":"/status/","route-type":"safe","timeout-ms":2000,"target-latency-ms":300,"priority":1,"service":%q,"max-attempts":2,"allow-anonymous":false,"sticky":false,"resume-streams":false}],
"services":[{"name":%q,"health-path":"/health","max-connections":120,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"hule930","api-keys":[%q],"priority":1,"unit":"requests","rate-per-s":1000,"burst":1000}]}`, version, host, service, service, apiKey)
}

// operatorPause is the operator's pause between two machines, which grows up to maxOperatorPause.
const (
	operatorPause    = 50 * time.Millisecond
	maxOperatorPause = 400 * time.Millisecond
)

// configure sends a configuration to one machine after the other until one acknowledges it. It
// returns how long that took, or false after the timeout.
func (w *world) configure(version int, timeout time.Duration) (took time.Duration, ok bool) {
	begun := time.Now()
	pause := operatorPause
	answers := map[string]int{}
	defer func() { w.record("operator: answers to PUT /config of version %d: %v", version, answers) }()
	for i := 0; time.Since(begun) < timeout; i++ {
		n := w.running()[i%len(w.running())]
		status, _ := call(context.Background(), http.MethodPut, "http://"+n.ip+":"+controlPort+"/config", config(version))
		answers[fmt.Sprintf("%s: %d", n.name, status)]++
		if status == http.StatusOK {
			w.record("operator: version %d acknowledged by %s after %.1f s", version, n.name, time.Since(begun).Seconds())
			return time.Since(begun), true
		}
		time.Sleep(pause)
		pause = min(2*pause, maxOperatorPause)
	}
	w.record("operator: version %d not acknowledged within %.0f s", version, timeout.Seconds())
	return time.Since(begun), false
}

// readBack asks one machine after the other for the configuration until one returns it. It returns
// false if none has after the timeout, or if another one is returned.
func (w *world) readBack(version int, timeout time.Duration) bool {
	answers := map[string]int{}
	defer func() { w.record("operator: answers to GET /config: %v", answers) }()
	begun := time.Now()
	for i := 0; time.Since(begun) < timeout; i++ {
		n := w.running()[i%len(w.running())]
		status, body := call(context.Background(), http.MethodGet, "http://"+n.ip+":"+controlPort+"/config", "")
		answers[fmt.Sprintf("%s: %d", n.name, status)]++
		if status == http.StatusOK {
			w.record("operator: %s returns the configuration; as sent: %v", n.name, body == config(version))
			return body == config(version)
		}
		time.Sleep(maxOperatorPause)
	}
	w.record("operator: the configuration does not come within %.0f s", timeout.Seconds())
	return false
}
