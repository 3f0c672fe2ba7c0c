package authenticator

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// authority issues certificates for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "site"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	certificate, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return &authority{certificate: certificate, key: key}
}

// issue writes the files of a node into a directory.
func (a *authority) issue(t *testing.T, dir string, trusted *authority) Files {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "node"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	f := NewFiles(filepath.Join(dir, "node.pem"), filepath.Join(dir, "node.key"), filepath.Join(dir, "roots.pem"))
	writePEM(t, f.certificate, "CERTIFICATE", der)
	writePEM(t, f.key, "EC PRIVATE KEY", keyDER)
	writePEM(t, f.roots, "CERTIFICATE", trusted.certificate.Raw)
	return f
}

func writePEM(t *testing.T, name, kind string, der []byte) {
	require.NoError(t, os.WriteFile(name, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

// exchangeTimeout bounds an exchange that a rejected handshake leaves half
// open.
const exchangeTimeout = 5 * time.Second

// connect reports whether two nodes can exchange bytes.
func connect(t *testing.T, client, server *Authenticator) bool {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close() //nolint:errcheck // the test ends
	done := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			done <- err
			return
		}
		defer conn.Close() //nolint:errcheck // the test ends
		_ = conn.SetDeadline(time.Now().Add(exchangeTimeout))
		_, err = io.ReadFull(server.Server(conn), make([]byte, 1))
		done <- err
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close() //nolint:errcheck // the test ends
	_ = conn.SetDeadline(time.Now().Add(exchangeTimeout))
	if _, err := client.Client(conn).Write([]byte{1}); err != nil {
		return false
	}
	return <-done == nil
}

func TestOnlyNodesOfTheSiteConnect(t *testing.T) {
	site, untrusted := newAuthority(t), newAuthority(t)
	node := func(issuer, trusted *authority) *Authenticator {
		a, err := NewAuthenticator(issuer.issue(t, t.TempDir(), trusted))
		require.NoError(t, err)
		return a
	}
	tests := map[string]struct {
		client, server *Authenticator
		want           bool
	}{
		"two nodes of the site":                 {client: node(site, site), server: node(site, site), want: true},
		"untrusted client that trusts the site": {client: node(untrusted, site), server: node(site, site)},
		"untrusted server":                      {client: node(site, site), server: node(untrusted, site)},
		"untrusted client with its own roots":   {client: node(untrusted, untrusted), server: node(site, site)},
		"client that trusts other roots only":   {client: node(site, untrusted), server: node(site, site)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, tt.want, connect(t, tt.client, tt.server)) })
	}
}

func TestFilesAreReloaded(t *testing.T) {
	old, renewed := newAuthority(t), newAuthority(t)
	dir := t.TempDir()
	a, err := NewAuthenticator(old.issue(t, dir, old))
	require.NoError(t, err)
	peer, err := NewAuthenticator(renewed.issue(t, t.TempDir(), renewed))
	require.NoError(t, err)
	require.False(t, connect(t, a, peer))
	f := renewed.issue(t, dir, renewed)
	later := time.Now().Add(time.Minute)
	require.NoError(t, os.Chtimes(f.roots, later, later))
	a.checkedAt = time.Time{}
	require.True(t, connect(t, a, peer))
	require.NoError(t, os.WriteFile(f.key, []byte("broken"), 0o600))
	require.NoError(t, os.Chtimes(f.key, later.Add(time.Minute), later.Add(time.Minute)))
	a.checkedAt = time.Time{}
	require.True(t, connect(t, a, peer), "broken files leave the previous ones in use")
}

func TestBadFiles(t *testing.T) {
	f := newAuthority(t).issue(t, t.TempDir(), newAuthority(t))
	require.NoError(t, os.WriteFile(f.roots, []byte("nothing"), 0o600))
	_, err := NewAuthenticator(f)
	require.ErrorIs(t, err, ErrNoRoots)
}
