package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	laterVersion = "v3"
	// freezeTime is how long the machine is frozen.
	freezeTime = 4 * time.Second
	// retransmitDelay is the time after which what was sent to a machine that has woken is sent
	// again: TCP doubles it while nothing answers.
	retransmitDelay = time.Second
	// roundTrip is the time between the operator and a machine and back, see the sheets.
	roundTrip = 6 * time.Millisecond
	// downTime is how long all processes are down at the final fault, and recoveryTime recovery-s.
	downTime     = time.Second
	recoveryTime = 12 * time.Second
)

// keptConn is a connection of the operator that it keeps open, to one machine. While the machine is
// frozen nothing arrives there. Afterwards what was sent arrives in its order: first the request,
// and a round trip later the end of the connection.
type keptConn struct {
	conn net.Conn
	in   *bufio.Reader
	host string
}

func keepConn(n *node) (*keptConn, error) {
	address := net.JoinHostPort(n.ip, controlPort)
	conn, err := net.DialTimeout("tcp", address, callTimeout)
	if err != nil {
		return nil, err
	}
	k := &keptConn{conn: conn, in: bufio.NewReader(conn), host: address}
	if err := k.send(http.MethodGet, "/config", ""); err != nil {
		return nil, err
	}
	_, err = k.receive()
	return k, err
}

func (k *keptConn) send(method, path, body string) error {
	_, err := fmt.Fprintf(k.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", method, path, k.host, len(body), body)
	return err
}

// receive returns the status of the next response.
func (k *keptConn) receive() (int, error) {
	resp, err := http.ReadResponse(k.in, nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// playFrozen freezes a machine without a disk just before the operator sends it an order on a
// connection that it keeps open. The operator gives up after a second and sends the order to another
// machine, and later orders another version. Then the frozen machine wakes.
func playFrozen(w *world) (bool, error) {
	w.addNodes(4, 2, []int{0, 1, 2, 3, 4, 5})
	w.setSeeds(w.nodes[0], w.nodes[1], w.nodes[4])
	if err := w.startAll(); err != nil {
		return false, err
	}
	if err := w.addEngines(0, oldVersion, fault{work: quickWork}); err != nil {
		return false, err
	}
	if _, ok := w.configure(1, ackTime); !ok {
		return false, fmt.Errorf("the first configuration was not acknowledged")
	}
	time.Sleep(settleTime)
	frozen := w.nodes[4]
	kept, err := keepConn(frozen)
	if err != nil {
		return false, err
	}
	defer kept.conn.Close()
	if w.trouble {
		err = w.orderBesideFrozen(frozen, kept)
	} else {
		err = w.orderInTurn(kept)
	}
	if err != nil {
		return false, err
	}
	w.record("operator: rollout %s", w.rolloutState())
	if err := w.killAll(); err != nil {
		return false, err
	}
	state := w.rolloutState()
	w.record("operator: after the final fault, rollout %s", state)
	return !strings.Contains(state, fmt.Sprintf("%q", laterVersion)), nil
}

// orderInTurn orders both versions, the first on the kept connection.
func (w *world) orderInTurn(kept *keptConn) error {
	if err := kept.send(http.MethodPost, "/rollouts", orderBody(badVersion)); err != nil {
		return err
	}
	status, err := kept.receive()
	if err != nil || status != http.StatusOK {
		return fmt.Errorf("the first order was answered %d: %v", status, err)
	}
	time.Sleep(callTimeout)
	if !w.orderRollout(laterVersion, ackLimit) {
		return fmt.Errorf("the second order was not acknowledged")
	}
	time.Sleep(2 * time.Second)
	return nil
}

// orderBesideFrozen orders both versions while a machine is frozen that gets the first order too.
func (w *world) orderBesideFrozen(frozen *node, kept *keptConn) error {
	if err := frozen.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	woken := time.After(freezeTime)
	w.record("%s is frozen", frozen.name)
	w.record("operator: order of %s sent to %s on the kept connection; no response within a second, connection closed", badVersion, frozen.name)
	time.Sleep(callTimeout)
	others := w.nodes[:4]
	if !w.orderRolloutAt(others, badVersion, ackLimit) {
		return fmt.Errorf("the first order was not acknowledged")
	}
	time.Sleep(callTimeout)
	if !w.orderRolloutAt(others, laterVersion, ackLimit) {
		return fmt.Errorf("the second order was not acknowledged")
	}
	<-woken
	if err := frozen.signal(syscall.SIGCONT); err != nil {
		return err
	}
	w.record("%s wakes", frozen.name)
	time.Sleep(retransmitDelay)
	// The frozen machine's kernel runs in this stand-in, so the bytes are held here.
	if err := kept.send(http.MethodPost, "/rollouts", orderBody(badVersion)); err != nil {
		return err
	}
	time.Sleep(roundTrip)
	w.record("the held order of %s has arrived at %s, and %v later the end of its connection", badVersion, frozen.name, roundTrip)
	if err := kept.conn.Close(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	return nil
}

// killAll is the final fault: all processes are killed and start again with their disks.
func (w *world) killAll() error {
	for _, n := range w.nodes {
		if err := n.signal(syscall.SIGKILL); err != nil {
			return err
		}
	}
	for _, n := range w.nodes {
		n.kill()
	}
	time.Sleep(downTime)
	for _, n := range w.nodes {
		if err := n.start(false); err != nil {
			return err
		}
	}
	time.Sleep(recoveryTime)
	status, _ := call(context.Background(), http.MethodGet, "http://"+net.JoinHostPort(w.nodes[0].ip, controlPort)+"/config", "")
	w.record("operator: GET /config after the final fault: %d", status)
	return nil
}
