package blame

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	simInstances = 8
	simServers   = 14
	simReport    = 200 // ms between two reports of an instance
	simRepair    = 3000
	simMaxSends  = 2
	simLength    = 40_000
)

// simulation is a deployment whose servers crash under the deadly parts, and at random.
type simulation struct {
	rng         *rand.Rand
	ledgers     []*Ledger
	seen, sent  []uint64
	servers     []*simServer
	incarnation int
	deadly      []Key

	crashes             int // under a deadly part
	sentAfter           int // requests with a deadly part sent later than 3 s after its fifth crash
	deadlyCrashes       map[Key][]int
	sound, soundRefused int
}

type simServer struct {
	id     Server
	upAt   int
	flight []*simRequest
}

type simRequest struct {
	instance, sentMs, endMs, sends int
	keys                           []Key
	deadly                         Key // 0 if sound
}

func newSimulation(seed uint64, deadly ...Key) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), deadly: deadly, deadlyCrashes: map[Key][]int{}}
	s.seen, s.sent = make([]uint64, simInstances), make([]uint64, simInstances)
	for i := range simInstances {
		s.ledgers = append(s.ledgers, New(fmt.Sprint(i)))
		s.ledgers[i].SetInstances(simInstances)
	}
	for range simServers {
		s.servers = append(s.servers, &simServer{})
		s.restart(s.servers[len(s.servers)-1], 0)
	}
	return s
}

func (s *simulation) restart(x *simServer, upAt int) {
	s.incarnation++
	x.id, x.upAt = Server(s.incarnation), upAt
}

// request returns a request with popular, rare and own parts, and sometimes a deadly one.
func (s *simulation) request(now, serial int, share float64) *simRequest {
	r := &simRequest{instance: s.rng.IntN(simInstances), keys: []Key{
		Key(100 + s.rng.IntN(3)), Key(200 + s.rng.IntN(40)), Key(1000 + s.rng.IntN(2000)), Key(1_000_000 + serial),
	}}
	if s.rng.Float64() < share {
		r.deadly = s.deadly[s.rng.IntN(len(s.deadly))]
		r.keys = append(r.keys, r.deadly)
	}
	return r
}

func (s *simulation) send(r *simRequest, now int) {
	l := s.ledgers[r.instance]
	if _, blamed := l.Blamed(r.keys, at(now)); blamed {
		if r.deadly == 0 {
			s.soundRefused++
		}
		return
	}
	var up []*simServer
	for _, x := range s.servers {
		if now >= x.upAt {
			up = append(up, x)
		}
	}
	if len(up) == 0 || r.sends == simMaxSends {
		return
	}
	if c := s.deadlyCrashes[r.deadly]; r.deadly != 0 && len(c) >= 5 && now > c[4]+3000 {
		s.sentAfter++
	}
	r.sends++
	r.sentMs, r.endMs = now, now+200+s.rng.IntN(800)
	if r.deadly != 0 {
		r.endMs = now + 50 + s.rng.IntN(250)
	}
	x := up[s.rng.IntN(len(up))]
	x.flight = append(x.flight, r)
}

// crash ends a server; its requests are sent once more.
func (s *simulation) crash(x *simServer, now int) {
	flight := x.flight
	x.flight = nil
	for _, r := range flight {
		s.ledgers[r.instance].Crashed(x.id, r.keys, at(r.sentMs), at(now))
	}
	s.restart(x, now+simRepair)
	for _, r := range flight {
		s.send(r, now+1)
	}
}

// tick runs one ms: requests end, servers crash.
func (s *simulation) tick(now int) {
	for _, x := range s.servers {
		for i := 0; i < len(x.flight); i++ {
			r := x.flight[i]
			if r.endMs > now {
				continue
			}
			if r.deadly != 0 {
				s.crashes++
				s.deadlyCrashes[r.deadly] = append(s.deadlyCrashes[r.deadly], now)
				s.crash(x, now)
				break
			}
			s.ledgers[r.instance].Completed(r.keys, at(now))
			x.flight = append(x.flight[:i], x.flight[i+1:]...)
			i--
		}
	}
	for i, l := range s.ledgers {
		if i > 0 && now%simReport == i*17 {
			// The leader is instance 0; both messages take up to 50 ms.
			records, last := l.Since(s.sent[i], 256, at(now))
			s.ledgers[0].Merge(delayed(records, s.rng.IntN(50)), at(now+50))
			s.sent[i] = last
			records, last = s.ledgers[0].Since(s.seen[i], 256, at(now+50))
			l.Merge(delayed(records, s.rng.IntN(50)), at(now+100))
			s.seen[i] = last
		}
	}
}

func delayed(records []Record, ms int) []Record {
	d := time.Duration(ms) * time.Millisecond
	for i := range records {
		for j, c := range records[i].Crashes {
			records[i].Crashes[j].At = c.At.Add(d)
		}
	}
	return records
}

// Guards against deadly parts that reach servers again and again, and against sound
// requests that are refused because of them or of unrelated crashes.
func TestSimulatedDeployment(t *testing.T) {
	for _, c := range []struct {
		name        string
		deadly      []Key
		share       float64
		perSecond   int
		strayMs     int // mean time between unrelated crashes; 0 for none
		massMs      int // time between crashes of a third of the servers at once; 0 for none
		mostCrashes int
		mostRefused float64 // of the sound requests
	}{
		{"one deadly part", []Key{1}, 0.05, 32, 0, 0, 8, 0.01},
		{"rare", []Key{1}, 0.01, 32, 0, 0, 8, 0.01},
		{"frequent", []Key{1}, 0.3, 32, 0, 0, 16, 0.01},
		{"two deadly parts", []Key{1, 2}, 0.1, 32, 0, 0, 20, 0.01},
		{"stray crashes", nil, 0, 32, 700, 0, 0, 0.02},
		{"mass crashes", nil, 0, 32, 0, 5000, 0, 0.01},
		{"little traffic and stray crashes", nil, 0, 4, 1500, 0, 0, 0.02},
		{"deadly part among stray and mass crashes", []Key{1}, 0.05, 32, 2000, 9000, 10, 0.02},
	} {
		for seed := range uint64(8) {
			s := newSimulation(seed, c.deadly...)
			for now := range simLength {
				if s.rng.IntN(1000) < c.perSecond {
					r := s.request(now, now, c.share)
					if r.deadly == 0 {
						s.sound++
					}
					s.send(r, now)
				}
				s.tick(now)
				if c.strayMs > 0 && s.rng.IntN(c.strayMs) == 0 {
					if x := s.servers[s.rng.IntN(simServers)]; now >= x.upAt {
						s.crash(x, now)
					}
				}
				if c.massMs > 0 && now%c.massMs == c.massMs-1 {
					for _, x := range s.servers[:simServers/3] {
						if now >= x.upAt {
							s.crash(x, now)
						}
					}
				}
			}
			if s.sentAfter > 3 {
				t.Errorf("%s, seed %d: %d requests with a deadly part reached servers later than 3 s after its fifth crash", c.name, seed, s.sentAfter)
			}
			if s.crashes > c.mostCrashes {
				t.Errorf("%s, seed %d: %d crashes, want at most %d", c.name, seed, s.crashes, c.mostCrashes)
			}
			if float64(s.soundRefused) > c.mostRefused*float64(s.sound) {
				t.Errorf("%s, seed %d: %d of %d sound requests refused", c.name, seed, s.soundRefused, s.sound)
			}
		}
	}
}
