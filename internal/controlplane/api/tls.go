package api

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
)

// Credentials contains the paths of PEM files: the caller's own certificate and its key, and the certificate authority that signs the
// peer's certificates.
type Credentials struct{ Certificate, Key, Authority string }

// ClientTLS loads the credentials for calling a write side over TLS.
func ClientTLS(c Credentials) (*tls.Config, error) {
	own, authority, err := c.load()
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{own}, RootCAs: authority}, nil
}

// ServerTLS loads the credentials for serving the write side over TLS. Each caller must present a certificate that the authority has
// signed.
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

// load reads the certificate with its key, and the authority's certificates.
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
		return own, nil, fmt.Errorf("%s contains no certificate", c.Authority)
	}
	return own, authority, nil
}
