// Package certs reads the certificates of a deployment. One authority signs the
// certificates of all processes and operators; a certificate of it is what proves
// that a peer belongs to the deployment.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("certs")

// Files names PEM files.
type Files struct {
	Certificate string // of this process or operator, with its chain
	Key         string // private key of the certificate
	Authority   string // certificates of the authority
}

// Peers returns the configuration for links between processes, for both ends.
// Each end must show a certificate of the authority. Names are not compared,
// because peers know each other by addresses that change with instances.
func Peers(f Files) (*tls.Config, error) {
	pair, pool, err := load(f)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{pair},
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true, // VerifyConnection checks the authority at both ends
		VerifyConnection: func(s tls.ConnectionState) error {
			return verify(s, pool)
		},
	}, nil
}

func verify(s tls.ConnectionState, pool *x509.CertPool) error {
	if len(s.PeerCertificates) == 0 {
		return Error.New("the peer shows no certificate")
	}
	rest := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		rest.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: pool, Intermediates: rest, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return Error.Wrap(err)
}

// Server returns the configuration of the operators' listener. An operator may
// show a certificate of the authority, whose common name is the operator's name.
func Server(f Files) (*tls.Config, error) {
	pair, pool, err := load(f)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{pair},
		ClientAuth: tls.VerifyClientCertIfGiven, ClientCAs: pool,
	}, nil
}

// Client returns the configuration of the command line. The servers' certificates
// must name their addresses. Certificate and Key may be empty.
func Client(f Files) (*tls.Config, error) {
	pool, err := authority(f.Authority)
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

func load(f Files) (tls.Certificate, *x509.CertPool, error) {
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return tls.Certificate{}, nil, Error.Wrap(err)
	}
	pool, err := authority(f.Authority)
	return pair, pool, err
}

func authority(file string) (*x509.CertPool, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(b) {
		return nil, Error.New("%s holds no certificate", file)
	}
	return pool, nil
}
