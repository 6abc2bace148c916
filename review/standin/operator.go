package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// call makes one HTTP call on a connection of its own.
func call(method, url string, body []byte, timeout time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Close = true
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, b, err
}

// operatorCall makes one call of the operator and records it. The operator allows a second.
func (c *cluster) operatorCall(m *machine, method, path string, body []byte) (int, []byte) {
	sent := time.Now()
	status, b, err := call(method, "http://"+m.addr(controlPort)+path, body, time.Second)
	shown := string(body)
	if len(shown) > 120 {
		shown = fmt.Sprintf("(%d bytes)", len(shown))
	}
	answer := fmt.Sprint(status, " ", string(bytes.TrimSpace(b)))
	if err != nil {
		answer = "no response"
	}
	if len(answer) > 160 {
		answer = fmt.Sprintf("%d (%d bytes)", status, len(b))
	}
	c.rec.lineAt(sent, "operator: %s %s %s at %s: %s after %d ms", method, path, shown, m.name, answer, time.Since(sent).Milliseconds())
	return status, b
}

// configure sends a configuration until it is acknowledged.
func (c *cluster) configure(cfg any, timeout time.Duration) error {
	body, err := json.Marshal(cfg)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(timeout)
	for i := 0; time.Now().Before(deadline); i++ {
		if status, _ := c.operatorCall(c.machines[i%len(c.machines)], "PUT", "/config", body); status == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("the configuration is not acknowledged")
}

// rollout reads the state of a rollout.
func (c *cluster) rollout(m *machine, service string) (state, target string, ok bool) {
	status, b := c.operatorCall(m, "GET", "/rollouts/"+service, nil)
	if status != http.StatusOK {
		return "", "", false
	}
	var r struct{ State, Target string }
	if json.Unmarshal(b, &r) != nil {
		return "", "", false
	}
	return r.State, r.Target, true
}
