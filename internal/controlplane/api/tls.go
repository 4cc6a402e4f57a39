package api

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
)

// Credentials are the paths of files in PEM: the own certificate and its key, and the authority that signs the other side's
// certificates.
type Credentials struct{ Certificate, Key, Authority string }

// ClientTLS reads the files with which a write side that asks for TLS is called.
func ClientTLS(c Credentials) (*tls.Config, error) {
	own, authority, err := c.load()
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{own}, RootCAs: authority}, nil
}

// ServerTLS reads the files with which a write side serves TLS. Each caller must have a certificate of the authority.
func ServerTLS(c Credentials) (*tls.Config, error) {
	own, authority, err := c.load()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{own},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    authority,
	}, nil
}

// load reads the own certificate and the authority's.
func (c Credentials) load() (own tls.Certificate, authority *x509.CertPool, err error) {
	if own, err = tls.LoadX509KeyPair(c.Certificate, c.Key); err != nil {
		return own, nil, err
	}
	pem, err := os.ReadFile(c.Authority)
	if err != nil {
		return own, nil, err
	}
	authority = x509.NewCertPool()
	if !authority.AppendCertsFromPEM(pem) {
		return own, nil, fmt.Errorf("%s holds no certificate", c.Authority)
	}
	return own, authority, nil
}
