package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"masticturn/internal/settings"
)

// keys holds the certificate, key and CA certificates for mutual TLS and reloads
// them when the files change.
type keys struct {
	files settings.TLS

	mu      sync.Mutex
	cert    *tls.Certificate
	roots   *x509.CertPool
	modTime time.Time // latest modification time of the three files
}

func newKeys(files settings.TLS) (*keys, error) {
	k := &keys{files: files}
	_, err := k.reload()
	return k, err
}

// reload reads the files if one of them has changed. On an error the previous keys
// stay in use.
func (k *keys) reload() (changed bool, err error) {
	newest, err := k.newestModTime()
	if err != nil {
		return false, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if newest.Equal(k.modTime) {
		return false, nil
	}
	k.modTime = newest
	cert, err := tls.LoadX509KeyPair(k.files.CertFile, k.files.KeyFile)
	if err != nil {
		return false, trace.Wrap(err, "load peer certificate %s and key %s", k.files.CertFile, k.files.KeyFile)
	}
	pem, err := os.ReadFile(k.files.CAFile)
	if err != nil {
		return false, trace.ConvertSystemError(err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return false, trace.BadParameter("peer CA file %s contains no certificate", k.files.CAFile)
	}
	k.cert, k.roots = &cert, roots
	return true, nil
}

func (k *keys) newestModTime() (time.Time, error) {
	var newest time.Time
	for _, name := range []string{k.files.CertFile, k.files.KeyFile, k.files.CAFile} {
		info, err := os.Stat(name)
		if err != nil {
			return newest, trace.ConvertSystemError(err)
		}
		if info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest, nil
}

// config returns the TLS configuration for a handshake. Both ends must present a
// certificate issued by the CA. The name in the certificate is verified against
// the hello message, because the VM at an address may not be known before.
func (k *keys) config() *tls.Config {
	k.mu.Lock()
	defer k.mu.Unlock()
	roots := k.roots
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{*k.cert},
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true, // verifyChain verifies the chain without the host name
		VerifyConnection:   func(s tls.ConnectionState) error { return verifyChain(roots, s) },
	}
}

func verifyChain(roots *x509.CertPool, s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return trace.Wrap(ErrRefused, "no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return trace.Wrap(err, "verify peer certificate")
}

// secure runs the TLS handshake as server or client.
func (k *keys) secure(ctx context.Context, raw net.Conn, server bool) (*tls.Conn, error) {
	conn := tls.Client(raw, k.config())
	if server {
		conn = tls.Server(raw, k.config())
	}
	if err := conn.HandshakeContext(ctx); err != nil {
		return nil, trace.Wrap(err, "TLS handshake")
	}
	return conn, nil
}

// verifyPeerName verifies that the peer certificate is valid for the VM name.
// Connections without TLS are accepted.
func verifyPeerName(conn net.Conn, vm string) error {
	tlsConn, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	leaf := tlsConn.ConnectionState().PeerCertificates[0]
	return trace.Wrap(leaf.VerifyHostname(vm), "verify name in peer certificate")
}
