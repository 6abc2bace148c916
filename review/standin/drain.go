package main

import (
	"errors"
	"fmt"
	"time"
)

// runDrain: an engine deregisters, the machine that leads acknowledges it and is killed right
// after. Other machines send requests to the engine long after drain-ms.
func runDrain(rec *record, trouble bool) (verdict, error) {
	const (
		darkTime  = 3500 * time.Millisecond // kill_leader: for_s = 3.5
		lingering = 4 * time.Second         // how much longer than drain-ms the engine serves
	)
	c, err := newCluster(rec, 4, 2, false)
	if err != nil {
		return verdict{}, err
	}
	defer c.close()
	if err := c.startAll(); err != nil {
		return verdict{}, err
	}
	if err := c.configure(plainConfig(1), 10*time.Second); err != nil {
		return verdict{}, err
	}
	if err := c.awaitReady(10 * time.Second); err != nil {
		return verdict{}, err
	}
	var engines []*engine
	for i, zone := range zones[:3] {
		e, err := c.startEngine(fmt.Sprintf("i-%08x", 0x7f3a9100+i), "auftrag-app", "v1", zone, 20*time.Millisecond, nil)
		if err != nil {
			return verdict{}, err
		}
		defer e.close()
		engines = append(engines, e)
	}
	time.Sleep(3 * time.Second)
	k := c.newClients(testHost, testKey)
	k.run(150, 1500*time.Millisecond, "/status/1", "/status/2", "/release/1")
	// Until the platform has seen the holder act, and the core has been stable for long.
	for deadline := time.Now().Add(25 * time.Second); c.cloud.lastHolder() == "" && time.Now().Before(deadline); {
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(stableWindow + time.Second)
	holder := c.byName(c.cloud.lastHolder())
	if holder == nil {
		return verdict{}, errors.New("no machine has acted")
	}
	leaving := engines[0]
	acked, err := leaving.deregister(holder)
	if err != nil {
		return verdict{}, err
	}
	if trouble {
		holder.kill()
	}
	killed := time.Now()
	rec.lineAt(acked, "engine %s: DELETE is acknowledged by %s, which acted last", leaving.id, holder.name)
	if trouble {
		rec.lineAt(killed, "platform: %s is killed %.1f ms later", holder.name, float64(killed.Sub(acked).Microseconds())/1000)
	}
	time.Sleep(time.Until(killed.Add(darkTime)))
	restarted := time.Now()
	if trouble {
		if err := holder.start(false); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(time.Until(acked.Add(drainBound + lingering)))
	leaving.close()
	rec.line("engine %s ends", leaving.id)
	k.stop()

	// Without the kill all machines are in touch. With it, those that run are from
	// stable-window-ms after the kill until the restart.
	from, to := acked.Add(drainBound), time.Now()
	if trouble {
		from, to = killed.Add(stableWindow), restarted
	}
	late, judged := 0, 0
	for _, a := range leaving.received() {
		s, ok := k.find(a.id)
		if !ok || a.at.Before(acked.Add(drainBound)) {
			continue
		}
		late++
		if s.at.Before(from) || !a.at.Before(to) || trouble && s.via == holder.name {
			continue
		}
		judged++
		rec.lineAt(a.at, "request %s (%s), sent to %s at %.3f, reaches %s %.0f ms after the acknowledgement; the client gets %d",
			s.id, s.path, s.via, s.at.Sub(rec.begin).Seconds(), leaving.id, float64(a.at.Sub(acked).Milliseconds()), s.status)
	}
	k.dump(engines...)
	rec.line("answers to clients from the acknowledgement on, by status: %v", k.summary(acked, time.Now()))
	reason := fmt.Sprintf("%d requests from machines in touch reached the engine later than drain-ms after its DELETE was acknowledged (%d from all)", judged, late)
	return verdict{broken: judged > 0, reason: reason}, nil
}
