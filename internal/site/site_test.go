package site

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/stand"
	"cranberrypath.example/cranberrypath/pkg/decl"
)

// testDeclaration declares one model, two plain services and two organisations.
func testDeclaration(t testing.TB) decl.Declaration {
	t.Helper()
	d, err := decl.Parse("small", []byte(`{
		"dataCentres": [{"name": "dc1"}, {"name": "dc2"}, {"name": "dc3"}],
		"machineClasses": [{"name": "m", "accelerators": 1, "onDemandPrice": 2, "reclaimablePrice": 1}],
		"services": [
			{"name": "drafts", "kind": "model", "versions": ["v1", "v2"], "version": "v1", "machineClass": "m"},
			{"name": "orders", "kind": "plain", "versions": ["v1"], "version": "v1", "machineClass": "m", "path": "/orders"},
			{"name": "quotes", "kind": "plain", "versions": ["v1"], "version": "v1", "machineClass": "m", "path": "/quotes",
				"routes": [{"method": "*", "path": "/quotes", "idempotent": true}]}],
		"organisations": [{"name": "acme", "keys": ["`+decl.HashKey("acme-key")+`"], "weight": 2}, {"name": "other", "keys": ["`+decl.HashKey("other-key")+`"], "weight": 1}],
		"presets": [{"name": "ordinary", "longShare": 0.8, "capacity": [{"service": "drafts", "min": 1, "max": 9}]}]}`))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func startThreeNodes(t *testing.T, engines int) *Site {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	s, err := Start(ctx, Config{Seed: 1, DataCentres: []string{"dc1", "dc2", "dc3"}, EntriesPerDataCentre: 1, ControlNodes: 3, Declaration: testDeclaration(t), DrainSeconds: 5, FakeDisks: true, Election: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	for i := range engines {
		dc := []string{"dc1", "dc2", "dc3"}[i%3]
		if _, err := s.AddEngine(stand.EngineConfig{
			Spec: stand.Spec{
				ID: "engine-" + string(rune('a'+i)), Service: "drafts", Versions: []string{"v1"}, DataCentre: dc, Zone: dc + "-a",
				MachineClass: "m", Reclaimable: true, Price: 1, Slots: 8, AnnounceEvery: 200 * time.Millisecond, Seed: uint64(i),
			},
			CacheBlocks: 1000, Speed: 20,
		}); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := s.AddDesk(stand.DeskConfig{Spec: stand.Spec{
		ID: "desk-a", Service: "orders", Versions: []string{"v1"}, DataCentre: "dc1", Zone: "dc1-a", MachineClass: "m", Slots: 8,
		AnnounceEvery: 200 * time.Millisecond,
	}, Path: "/orders"}); err != nil {
		t.Fatal(err)
	}
	if err := s.WaitForBackends(ctx, engines+1); err != nil {
		t.Fatal(err)
	}
	return s
}

func post(t testing.TB, addr, path, body string, headers ...string) (int, http.Header, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+path, bytes.NewReader([]byte(body)))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer acme-key")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, resp.Header, string(b)
}

// Guards against a missing or unconnected component on the path from a caller to a
// backend server.
func TestThinPath(t *testing.T) {
	s := startThreeNodes(t, 2)
	body := `{"model": "drafts", "prompt": "Plinth for a barn", "max_tokens": 20, "seed": 3}`
	status, _, text := post(t, s.CallerAddrs()[0], "/v1/completions", body)
	if status != http.StatusOK {
		t.Fatalf("status %d: %s", status, text)
	}
	var c struct {
		Choices []struct{ Text string }
		Usage   struct {
			Completion int `json:"completion_tokens"`
		}
	}
	if err := json.Unmarshal([]byte(text), &c); err != nil || c.Usage.Completion != 20 {
		t.Fatalf("%v: %s", err, text)
	}
	want := stand.Text{Model: "drafts", Version: "v1", Prompt: "Plinth for a barn", Seed: 3}
	if got := strings.Join(want.Tokens(20), ""); c.Choices[0].Text != got {
		t.Fatalf("got %q, want %q", c.Choices[0].Text, got)
	}
	status, _, text = post(t, s.CallerAddrs()[1], "/v1/chat/completions", `{"model": "drafts", "messages": [{"role": "user", "content": "hi"}], "max_tokens": 5, "stream": true}`)
	if status != http.StatusOK || !strings.HasSuffix(text, "data: [DONE]\n\n") || !strings.Contains(text, "id: 5\n") {
		t.Fatalf("status %d: %s", status, text)
	}
	for i := range 2 {
		status, h, text := post(t, s.CallerAddrs()[i], "/orders", `{"pour": "C30"}`, "Idempotency-Key", "k1")
		if status >= 300 || (h.Get("X-Replayed") == "true") != (i == 1) {
			t.Fatalf("order %d: status %d, replayed %q: %s", i, status, h.Get("X-Replayed"), text)
		}
	}
}
