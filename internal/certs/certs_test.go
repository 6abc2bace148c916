package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// newAuthority creates an authority and returns a function that issues certificates.
func newAuthority(t *testing.T) func(name string) Files {
	t.Helper()
	key := newKey(t)
	ca := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	dir := t.TempDir()
	caFile := filepath.Join(dir, "ca.pem")
	writePEM(t, caFile, "CERTIFICATE", sign(t, ca, ca, key, key))
	return func(name string) Files {
		k := newKey(t)
		c := &x509.Certificate{
			SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
			NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
			ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		}
		f := Files{Certificate: filepath.Join(dir, name+".pem"), Key: filepath.Join(dir, name+".key"), Authority: caFile}
		writePEM(t, f.Certificate, "CERTIFICATE", sign(t, c, ca, k, key))
		b, err := x509.MarshalPKCS8PrivateKey(k)
		if err != nil {
			t.Fatal(err)
		}
		writePEM(t, f.Key, "PRIVATE KEY", b)
		return f
	}
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func sign(t *testing.T, c, parent *x509.Certificate, k, parentKey *ecdsa.PrivateKey) []byte {
	t.Helper()
	b, err := x509.CreateCertificate(rand.Reader, c, parent, &k.PublicKey, parentKey)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func writePEM(t *testing.T, file, kind string, b []byte) {
	t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: b}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// handshake performs a TLS handshake and returns the errors of both sides.
func handshake(t *testing.T, client, server *tls.Config) (clientErr, serverErr error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	done := make(chan error, 1)
	go func() {
		raw, err := ln.Accept()
		if err != nil {
			done <- err
			return
		}
		defer raw.Close()
		c := tls.Server(raw, server)
		if err := c.Handshake(); err != nil {
			done <- err
			return
		}
		_, err = c.Write([]byte("x"))
		done <- err
	}()
	raw, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	c := tls.Client(raw, client)
	clientErr = c.Handshake()
	if clientErr == nil {
		_, clientErr = c.Read(make([]byte, 1)) // in TLS 1.3, a rejected client gets the error only when reading
	}
	_ = raw.Close()
	return clientErr, <-done
}

// Guards against accepting a peer whose certificate was signed by another authority
// or that presents no certificate.
func TestPeers(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	peers := func(f Files) *tls.Config {
		c, err := Peers(f)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	a, b, untrusted := peers(ours("a")), peers(ours("b")), peers(theirs("c"))
	noCertificate := &tls.Config{InsecureSkipVerify: true}
	tests := []struct {
		name           string
		client, server *tls.Config
		ok             bool
	}{
		{"same authority", a, b, true},
		{"untrusted client", untrusted, b, false},
		{"untrusted server", a, untrusted, false},
		{"client without certificate", noCertificate, b, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, s := handshake(t, tt.client, tt.server)
			if ok := c == nil && s == nil; ok != tt.ok {
				t.Fatalf("client %v, server %v", c, s)
			}
		})
	}
}

// Guards against a command-line client that does not verify the server.
func TestClientChecksServer(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	server, err := Server(ours("server"))
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		name string
		f    Files
		ok   bool
	}{{"right authority", ours("anna"), true}, {"other authority", theirs("anna"), false}} {
		t.Run(tt.name, func(t *testing.T) {
			client, err := Client(tt.f)
			if err != nil {
				t.Fatal(err)
			}
			client.ServerName = "127.0.0.1"
			c, s := handshake(t, client, server)
			if ok := c == nil && s == nil; ok != tt.ok {
				t.Fatalf("client %v, server %v", c, s)
			}
		})
	}
}
