package stand

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

type announcement struct {
	ID           string        `json:"id"`
	Incarnation  uint64        `json:"incarnation"`
	Seq          uint64        `json:"seq"`
	Address      string        `json:"address"`
	Service      string        `json:"service"`
	Kind         string        `json:"kind"`
	Versions     []string      `json:"versions"`
	Adapters     []string      `json:"adapters,omitempty"`
	Role         string        `json:"role,omitempty"`
	DataCentre   string        `json:"dataCentre"`
	Zone         string        `json:"zone,omitempty"`
	MachineClass string        `json:"machineClass,omitempty"`
	Reclaimable  bool          `json:"reclaimable"`
	Price        float64       `json:"price"`
	Slots        int           `json:"slots"`
	CacheBlocks  int           `json:"cacheBlocks"`
	State        string        `json:"state"`
	LeaveBy      *time.Time    `json:"leaveBy,omitempty"`
	Load         announcedLoad `json:"load"`
	CacheEvents  *cacheEvents  `json:"cacheEvents,omitempty"`
}

type announcedLoad struct {
	Running         int     `json:"running"`
	Waiting         int     `json:"waiting"`
	CacheUsed       float64 `json:"cacheUsed"`
	TokensPerSecond float64 `json:"tokensPerSecond"`
	PrefillMicros   float64 `json:"prefillMicrosPerToken"`
	AgeMillis       int64   `json:"ageMillis"`
}

type cacheEvents struct {
	From    uint64   `json:"from"`
	Full    bool     `json:"full,omitempty"`
	Added   []string `json:"added,omitempty"`
	Removed []string `json:"removed,omitempty"`
}

func hexHashes(hashes []uint64) []string {
	out := make([]string, len(hashes))
	for i, h := range hashes {
		out[i] = fmt.Sprintf("%016x", h)
	}
	return out
}

// announceLoop announces the server until Close, across crashes and restarts.
func (s *server) announceLoop() {
	client := &http.Client{Transport: s.announceTransport, Timeout: announceTimeout}
	interval, entryIndex := s.spec.AnnounceEvery, 0
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-timer.C:
		case <-s.announceNow:
		}
		addr, encoded, ok := s.buildAnnouncement(time.Now(), entryIndex)
		if ok {
			newInterval, err := s.sendAnnouncement(client, addr, encoded)
			if err != nil {
				entryIndex++
			} else if newInterval > 0 {
				interval = newInterval
			}
		}
		timer.Reset(interval)
	}
}

// buildAnnouncement returns the next encoded announcement and the address to send it
// to. It reports false while the server doesn't announce itself.
func (s *server) buildAnnouncement(now time.Time, entryIndex int) (string, []byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.alive || s.announcementsSuppressed || s.frozen != nil {
		return "", nil, false
	}
	s.seq++
	m := announcement{
		ID: s.spec.ID, Incarnation: s.incarnation, Seq: s.seq, Address: s.addr,
		Service: s.spec.Service, Kind: s.kind, Versions: s.versions, Adapters: s.adapters, Role: s.role,
		DataCentre: s.spec.DataCentre, Zone: s.spec.Zone, MachineClass: s.spec.MachineClass,
		Reclaimable: s.spec.Reclaimable, Price: s.spec.Price, Slots: s.spec.Slots, State: s.state,
	}
	if !s.leaveBy.IsZero() {
		t := s.leaveBy.UTC()
		m.LeaveBy = &t
	}
	s.hooks.fillAnnouncement(now, &m)
	b, err := json.Marshal(m)
	if err != nil {
		panic(err) // unreachable: all fields can be encoded
	}
	addr := s.assignedEntry
	if n := len(s.spec.Entries); addr == "" && n > 0 {
		addr = s.spec.Entries[entryIndex%n]
	}
	return addr, b, true
}

// sendAnnouncement posts an announcement and returns the interval that the entry
// instance asks for. After a failure the server forgets the assigned entry instance
// and falls back to the configured ones.
func (s *server) sendAnnouncement(client *http.Client, addr string, encoded []byte) (time.Duration, error) {
	req, err := http.NewRequestWithContext(s.ctx, http.MethodPost, "http://"+addr+"/v1/backends/announce", bytes.NewReader(encoded))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	var response struct {
		Home        string `json:"home"`
		EveryMillis int    `json:"everyMillis"`
		ResyncCache bool   `json:"resyncCache"`
	}
	err = doJSON(client, req, &response)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.assignedEntry = ""
		return 0, err
	}
	s.assignedEntry = response.Home
	if response.ResyncCache {
		s.hooks.onResyncCache()
	}
	return time.Duration(response.EveryMillis) * time.Millisecond, nil
}

func doJSON(client *http.Client, req *http.Request, out any) error {
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return Error.New("unexpected status %d", resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

// Announced returns the next announcement as JSON, or nil if the server doesn't
// announce itself now. Benchmarks and tests of other packages use it. Each call
// consumes a sequence number.
func (s *server) Announced(now time.Time) []byte {
	_, b, _ := s.buildAnnouncement(now, 0)
	return b
}
