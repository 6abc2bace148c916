// Package certs builds TLS configurations from the certificates of a deployment. A
// single authority signs the certificates of all processes and operators; a
// certificate signed by it proves that a peer belongs to the deployment.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("certs")

// Files holds the paths of PEM files.
type Files struct {
	Certificate string // of this process or operator, with its chain
	Key         string // private key of the certificate
	Authority   string // certificates of the authority
}

// Peers returns the configuration for connections between processes, for client and
// server. Both must present a certificate signed by the authority. Host names are
// not verified, because the addresses of peers change with their instances.
func Peers(f Files) (*tls.Config, error) {
	pair, pool, err := loadFiles(f)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{pair},
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true, // VerifyConnection verifies the chain on both sides
		VerifyConnection: func(s tls.ConnectionState) error {
			return verifyPeer(s, pool)
		},
	}, nil
}

func verifyPeer(s tls.ConnectionState, pool *x509.CertPool) error {
	if len(s.PeerCertificates) == 0 {
		return Error.New("peer presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: pool, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return Error.Wrap(err)
}

// Server returns the configuration of the operators' listener. Client certificates
// are optional; their common name is the operator's name.
func Server(f Files) (*tls.Config, error) {
	pair, pool, err := loadFiles(f)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{pair},
		ClientAuth: tls.VerifyClientCertIfGiven, ClientCAs: pool,
	}, nil
}

// Client returns the configuration of the command-line client. Server certificates
// must contain the server's address. Certificate and Key may be empty.
func Client(f Files) (*tls.Config, error) {
	pool, err := loadAuthority(f.Authority)
	if err != nil {
		return nil, err
	}
	cfg := &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}
	if f.Certificate == "" && f.Key == "" {
		return cfg, nil
	}
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	cfg.Certificates = []tls.Certificate{pair}
	return cfg, nil
}

func loadFiles(f Files) (tls.Certificate, *x509.CertPool, error) {
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return tls.Certificate{}, nil, Error.Wrap(err)
	}
	pool, err := loadAuthority(f.Authority)
	return pair, pool, err
}

func loadAuthority(file string) (*x509.CertPool, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(b) {
		return nil, Error.New("%s contains no certificate", file)
	}
	return pool, nil
}
