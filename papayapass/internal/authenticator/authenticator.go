// Package authenticator secures links between nodes with mutual TLS. It reads
// certificate, key and trust roots from files, and reloads them when they
// change.
package authenticator

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// checkInterval is the minimum time between checks of the files.
const checkInterval = time.Second

// ErrNoRoots means that the trust roots file has no certificate.
var ErrNoRoots = errors.New("trust roots file has no certificate")

// Files are the names of the PEM files.
type Files struct {
	certificate string
	key         string
	roots       string
}

// NewFiles returns the names of the certificate, key and trust roots files.
func NewFiles(certificate, key, roots string) Files {
	return Files{certificate: certificate, key: key, roots: roots}
}

// Authenticator secures connections with the newest valid files.
type Authenticator struct {
	files     Files
	mu        sync.Mutex
	config    *tls.Config
	modified  time.Time
	checkedAt time.Time
}

// NewAuthenticator returns an authenticator, or an error if the files are not
// valid.
func NewAuthenticator(f Files) (*Authenticator, error) {
	a := &Authenticator{files: f}
	config, err := f.load()
	if err != nil {
		return nil, err
	}
	a.config, a.modified, a.checkedAt = config, f.lastModified(), time.Now()
	return a, nil
}

// Client returns the TLS side of a connection that this node opened.
func (a *Authenticator) Client(conn net.Conn) net.Conn { return tls.Client(conn, a.current()) }

// Server returns the TLS side of a connection that a peer opened.
func (a *Authenticator) Server(conn net.Conn) net.Conn { return tls.Server(conn, a.current()) }

// current returns the TLS configuration of the newest valid files.
func (a *Authenticator) current() *tls.Config {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if now.Sub(a.checkedAt) < checkInterval {
		return a.config
	}
	a.checkedAt = now
	modified := a.files.lastModified()
	if !modified.After(a.modified) {
		return a.config
	}
	if config, err := a.files.load(); err == nil {
		a.config, a.modified = config, modified
	}
	return a.config
}

// lastModified returns the modification time of the newest file.
func (f Files) lastModified() time.Time {
	var newest time.Time
	for _, name := range []string{f.certificate, f.key, f.roots} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

func (f Files) load() (*tls.Config, error) {
	certificate, err := tls.LoadX509KeyPair(f.certificate, f.key)
	if err != nil {
		return nil, errors.Wrap(err, "load certificate and key")
	}
	text, err := os.ReadFile(f.roots)
	if err != nil {
		return nil, errors.Wrap(err, "load trust roots")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return nil, errors.Wrap(ErrNoRoots, f.roots)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		ClientAuth:   tls.RequireAnyClientCert,
		// Peers are addressed by IP addresses that change, so VerifyConnection
		// checks the certificate chain but not the name.
		InsecureSkipVerify: true,
		VerifyConnection:   verifier(roots),
	}, nil
}

// verifier returns a check that the peer's certificate chains to one of the
// roots.
func verifier(roots *x509.CertPool) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return errors.New("peer has no certificate")
		}
		intermediates := x509.NewCertPool()
		for _, c := range state.PeerCertificates[1:] {
			intermediates.AddCert(c)
		}
		_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
			Roots: roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
		})
		return errors.Wrap(err, "verify the peer's certificate")
	}
}
