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

// keys holds the key files of mutual TLS and reads them again when they
// change.
type keys struct {
	files settings.TLS

	mu      sync.Mutex
	cert    *tls.Certificate
	roots   *x509.CertPool
	modTime time.Time // newest of the three files
}

func newKeys(files settings.TLS) (*keys, error) {
	k := &keys{files: files}
	_, err := k.reload()
	return k, err
}

// reload reads the files if one of them has changed. On an error the keys read
// before stay in use.
func (k *keys) reload() (changed bool, err error) {
	newest, err := k.newestChange()
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
		return false, trace.Wrap(err, "read peer keys %s, %s", k.files.CertFile, k.files.KeyFile)
	}
	pem, err := os.ReadFile(k.files.CAFile)
	if err != nil {
		return false, trace.ConvertSystemError(err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return false, trace.BadParameter("peer CA file %s holds no certificate", k.files.CAFile)
	}
	k.cert, k.roots = &cert, roots
	return true, nil
}

func (k *keys) newestChange() (time.Time, error) {
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

// config returns the configuration of one handshake. Both ends show a
// certificate of the CA; the name in it is checked against the hello, since
// the VM behind an address may not be known before.
func (k *keys) config() *tls.Config {
	k.mu.Lock()
	defer k.mu.Unlock()
	roots := k.roots
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{*k.cert},
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true, // verifyChain does it, without the name
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
	return trace.Wrap(err, "verify the peer's certificate")
}

// secure runs the TLS handshake as one of the two ends.
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

// verifyName checks that the certificate of a connection is one for the VM.
// Plain connections pass.
func verifyName(conn net.Conn, vm string) error {
	secured, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	leaf := secured.ConnectionState().PeerCertificates[0]
	return trace.Wrap(leaf.VerifyHostname(vm), "check the certificate's name")
}
