package faults

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"
)

// Guards against losing, reordering or repeating delayed bytes, against delivering
// bytes without the delay, and against dropping bytes written just before Close.
func TestLatency(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	const delay = 20 * time.Millisecond
	far := ln.Addr().String()
	l := New()
	l.SetLatency(func(_, to string) time.Duration {
		if to == far {
			return delay
		}
		return delay / 2
	})
	received := make(chan []byte, 1)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		var all bytes.Buffer
		_, _ = io.Copy(io.MultiWriter(&all, c), c) // echo server
		received <- all.Bytes()
	}()
	c, err := l.Dialer("near")(context.Background(), far)
	if err != nil {
		t.Fatal(err)
	}
	var want []byte
	began := time.Now()
	for n := range 300 {
		data := bytes.Repeat([]byte{byte(n)}, 1+n*n%5000)
		want = append(want, data...)
		if _, err := c.Write(data); err != nil {
			t.Fatal(err)
		}
	}
	got := make([]byte, 1)
	if _, err := io.ReadFull(c, got); err != nil || time.Since(began) < delay+delay/2 {
		t.Fatalf("the first byte returned after %v: %v", time.Since(began), err)
	}
	got = append(got, make([]byte, len(want)-1)...)
	if _, err := io.ReadFull(c, got[1:]); err != nil || !bytes.Equal(got, want) {
		t.Fatalf("the echo differs: %v", err)
	}
	if _, err := c.Write([]byte("last")); err != nil {
		t.Fatal(err)
	}
	_ = c.Close()
	if _, err := c.Write([]byte("late")); err == nil {
		t.Error("a closed connection accepts bytes")
	}
	if all := <-received; !bytes.Equal(all, append(want, "last"...)) {
		t.Errorf("%d bytes arrived, want %d", len(all), len(want)+4)
	}
}
