package stand

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

type wireState struct {
	ID           string      `json:"id"`
	Incarnation  uint64      `json:"incarnation"`
	Seq          uint64      `json:"seq"`
	Address      string      `json:"address"`
	Service      string      `json:"service"`
	Kind         string      `json:"kind"`
	Versions     []string    `json:"versions"`
	Adapters     []string    `json:"adapters,omitempty"`
	Role         string      `json:"role,omitempty"`
	DataCentre   string      `json:"dataCentre"`
	Zone         string      `json:"zone,omitempty"`
	MachineClass string      `json:"machineClass,omitempty"`
	Reclaimable  bool        `json:"reclaimable"`
	Price        float64     `json:"price"`
	Slots        int         `json:"slots"`
	CacheBlocks  int         `json:"cacheBlocks"`
	State        string      `json:"state"`
	LeaveBy      *time.Time  `json:"leaveBy,omitempty"`
	Load         wireLoad    `json:"load"`
	CacheEvents  *wireEvents `json:"cacheEvents,omitempty"`
}

type wireLoad struct {
	Running         int     `json:"running"`
	Waiting         int     `json:"waiting"`
	CacheUsed       float64 `json:"cacheUsed"`
	TokensPerSecond float64 `json:"tokensPerSecond"`
	PrefillMicros   float64 `json:"prefillMicrosPerToken"`
	AgeMillis       int64   `json:"ageMillis"`
}

type wireEvents struct {
	From    uint64   `json:"from"`
	Full    bool     `json:"full,omitempty"`
	Added   []string `json:"added,omitempty"`
	Removed []string `json:"removed,omitempty"`
}

func hexes(hashes []uint64) []string {
	out := make([]string, len(hashes))
	for i, h := range hashes {
		out[i] = fmt.Sprintf("%016x", h)
	}
	return out
}

// announceLoop announces the server until Close. It runs for all incarnations.
func (s *server) announceLoop() {
	client := &http.Client{Transport: s.announcr, Timeout: announceTimeout}
	every, next := s.spec.AnnounceEvery, 0
	tick := time.NewTimer(0)
	defer tick.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-tick.C:
		case <-s.changed:
		}
		addr, m, ok := s.statement(time.Now(), next)
		if ok {
			told, err := s.tell(client, addr, m)
			if err != nil {
				next++
			} else if told > 0 {
				every = told
			}
		}
		tick.Reset(every)
	}
}

// statement returns the next announcement and the address to send it to.
func (s *server) statement(now time.Time, next int) (string, []byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.alive || s.silent || s.frozen != nil {
		return "", nil, false
	}
	s.seq++
	m := wireState{
		ID: s.spec.ID, Incarnation: s.incarnation, Seq: s.seq, Address: s.addr,
		Service: s.spec.Service, Kind: s.kind, Versions: s.versions, Adapters: s.adapters, Role: s.role,
		DataCentre: s.spec.DataCentre, Zone: s.spec.Zone, MachineClass: s.spec.MachineClass,
		Reclaimable: s.spec.Reclaimable, Price: s.spec.Price, Slots: s.spec.Slots, State: s.state,
	}
	if !s.leaveBy.IsZero() {
		t := s.leaveBy.UTC()
		m.LeaveBy = &t
	}
	s.body.announce(now, &m)
	b, err := json.Marshal(m)
	if err != nil {
		panic(err) // only values of this package are encoded
	}
	addr := s.home
	if n := len(s.spec.Entries); addr == "" && n > 0 {
		addr = s.spec.Entries[next%n]
	}
	return addr, b, true
}

// tell sends an announcement. After a failure the server leaves its home and
// tries the next entry instance that it was started with.
func (s *server) tell(client *http.Client, addr string, m []byte) (time.Duration, error) {
	req, err := http.NewRequestWithContext(s.ctx, http.MethodPost, "http://"+addr+"/v1/backends/announce", bytes.NewReader(m))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	var answer struct {
		Home        string `json:"home"`
		EveryMillis int    `json:"everyMillis"`
		ResyncCache bool   `json:"resyncCache"`
	}
	err = do(client, req, &answer)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.home = ""
		return 0, err
	}
	s.home = answer.Home
	if answer.ResyncCache {
		s.body.resync()
	}
	return time.Duration(answer.EveryMillis) * time.Millisecond, nil
}

func do(client *http.Client, req *http.Request, out any) error {
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return Error.New("status %d", resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

// Announced returns what the server would announce now, nil if it is not alive,
// for benchmarks and foreign test benches. It uses up a sequence number.
func (s *server) Announced(now time.Time) []byte {
	_, b, _ := s.statement(now, 0)
	return b
}
