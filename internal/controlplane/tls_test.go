package controlplane

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
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/controlplane/relayserver"
	"stairvane.org/stairvane/internal/controlplane/store"
	"stairvane.org/stairvane/internal/controlplane/watch/watchtest"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/operatorconfig"
)

// authority is a certificate authority that writes its certificates to a folder.
type authority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T, name string) *authority {
	a := &authority{t: t, dir: t.TempDir()}
	a.cert, a.key = a.issue(name, nil, nil)
	return a
}

// issue writes the files NAME.crt and NAME.key. Without a parent it issues the authority's own self-signed certificate.
func (a *authority) issue(name string, parent *x509.Certificate, signer *ecdsa.PrivateKey) (*x509.Certificate, *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	check(a.t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(time.Now().UnixNano()),
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  parent == nil,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	if parent == nil {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	check(a.t, err)
	cert, err := x509.ParseCertificate(der)
	check(a.t, err)
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	check(a.t, err)
	check(a.t, os.WriteFile(filepath.Join(a.dir, name+".crt"), pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	check(a.t, os.WriteFile(filepath.Join(a.dir, name+".key"), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: raw}), 0o600))
	return cert, key
}

func (a *authority) file(name string) string { return filepath.Join(a.dir, name) }

// startOverTLS runs a server with the certificate "board" of an authority. Its write side requires client certificates of the same
// authority.
func startOverTLS(t *testing.T, a *authority) *Server {
	t.Helper()
	set := settingsIn(t.TempDir())
	set.Write = operatorconfig.Write{TCP: loopback(), TLS: &operatorconfig.TLS{
		Certificate: a.file("board.crt"),
		Key:         a.file("board.key"),
		Clients:     a.file("ca.crt"),
	}}
	return startServer(t, set)
}

// TestWriteSideOverTLS checks that the write side accepts only callers with a certificate of its authority, and only TLS 1.3, and that
// it records the name in the certificate.
func TestWriteSideOverTLS(t *testing.T) {
	own := newAuthority(t, "ca")
	other := newAuthority(t, "ca")
	for _, name := range []string{"board", "anna"} {
		own.issue(name, own.cert, own.key)
	}
	other.issue("mallory", other.cert, other.key)
	s := startOverTLS(t, own)
	purge := func(a *authority, name string) error {
		c, err := api.NewClient(s.WriteAddr().String(), "", api.Credentials{
			Certificate: a.file(name + ".crt"),
			Key:         a.file(name + ".key"),
			Authority:   own.file("ca.crt"),
		})
		check(t, err)
		_, err = c.Purge(fleet.Purge{Object: "00000000000000ff"})
		return err
	}
	check(t, purge(own, "anna"))
	if err := purge(other, "mallory"); err == nil {
		t.Error("a certificate of another authority was accepted")
	}
	pool := x509.NewCertPool()
	pool.AddCert(own.cert)
	pair, err := tls.LoadX509KeyPair(own.file("anna.crt"), own.file("anna.key"))
	check(t, err)
	for name, config := range map[string]*tls.Config{
		"no certificate": {RootCAs: pool},
		"TLS 1.2":        {RootCAs: pool, Certificates: []tls.Certificate{pair}, MaxVersion: tls.VersionTLS12},
	} {
		c := http.Client{Transport: &http.Transport{TLSClientConfig: config}}
		if res, err := c.Get("https://" + s.WriteAddr().String() + "/v1/world"); err == nil {
			check(t, res.Body.Close())
			t.Errorf("%s was accepted", name)
		}
	}
	var who []string
	check(t, s.store.View(func(v *store.View) error {
		events, err := v.Events(0, 10)
		for _, e := range events {
			who = append(who, e.Who)
		}
		return err
	}))
	if strings.Join(who, ",") != "anna" {
		t.Errorf("%v", who)
	}
}

// TestRelayOverTLS checks that a relay with a certificate of the control plane's authority is granted a lease and serves, and that a
// relay with a certificate of another authority never does.
func TestRelayOverTLS(t *testing.T) {
	own := newAuthority(t, "ca")
	other := newAuthority(t, "ca")
	own.issue("board", own.cert, own.key)
	own.issue("relay", own.cert, own.key)
	other.issue("relay", other.cert, other.key)
	s := startOverTLS(t, own)
	check(t, storePurge(s.store, 1))
	startRelay := func(a *authority, name string) netip.AddrPort {
		set := operatorconfig.DefaultRelay()
		set.Name = name
		set.Listen = loopback()
		set.Upstream = []netip.AddrPort{netip.MustParseAddrPort(s.WriteAddr().String())}
		set.TLS = &operatorconfig.ClientTLS{Certificate: a.file("relay.crt"), Key: a.file("relay.key"), Authority: own.file("ca.crt")}
		r, err := relayserver.New(set)
		check(t, err)
		run(t, r)
		addr, err := r.Addr()
		check(t, err)
		return addr
	}
	untrusted, trusted := startRelay(other, "strange"), startRelay(own, "known")
	serves := func(addr netip.AddrPort) bool {
		d, err := watchtest.Dial(addr, "d", testTimeout)
		check(t, err)
		defer d.Close()
		status, _, err := d.Poll(0)
		return err == nil && status == http.StatusOK && d.Revision == 1
	}
	waitUntil(t, "the relay serves", func() bool { return serves(trusted) })
	if serves(untrusted) || len(s.directors.Members().Relays) != 1 {
		t.Errorf("a certificate of another authority was accepted: %+v", s.directors.Members().Relays)
	}
}
