package operator

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"masticturn/internal/edge"
	"masticturn/internal/settings"
	"masticturn/internal/telemetry"
)

// selfSigned writes a certificate for 127.0.0.1 and returns it.
func selfSigned(t *testing.T, files settings.TLS) *x509.Certificate {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	keyRaw, _ := x509.MarshalPKCS8PrivateKey(key)
	for file, block := range map[string]*pem.Block{
		files.CertFile: {Type: "CERTIFICATE", Bytes: raw}, files.KeyFile: {Type: "PRIVATE KEY", Bytes: keyRaw},
	} {
		if err := os.WriteFile(file, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	cert, _ := x509.ParseCertificate(raw)
	return cert
}

func TestTLS(t *testing.T) {
	dir := t.TempDir()
	files := settings.TLS{CertFile: filepath.Join(dir, "crt"), KeyFile: filepath.Join(dir, "key")}
	cert := selfSigned(t, files)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(Deps{
		Listener: listener, TLS: files, Ready: func() error { return nil },
		Metrics: metrics.NewSet(), Logger: telemetry.Discard(),
	})
	if err := s.Provision(nil); err != nil {
		t.Fatal(err)
	}
	if err := s.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Stop(context.Background()) }()
	roots := x509.NewCertPool()
	roots.AddCert(cert)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}}}
	resp, err := client.Get("https://" + listener.Addr().String() + edge.PathHealthz)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	plain, err := http.Get("http://" + listener.Addr().String() + edge.PathHealthz)
	if err == nil {
		defer plain.Body.Close()
		if plain.StatusCode == http.StatusOK {
			t.Error("a plain request was answered")
		}
	}

	renewed := selfSigned(t, files)
	later := time.Now().Add(time.Minute)
	_ = os.Chtimes(files.CertFile, later, later)
	s.cert.checked = time.Time{}
	if got := s.cert.current().Certificate[0]; string(got) != string(renewed.Raw) {
		t.Error("the renewed certificate is not in use")
	}
	if err := os.WriteFile(files.CertFile, []byte("none"), 0o600); err != nil {
		t.Fatal(err)
	}
	s.cert.checked = time.Time{}
	if got := s.cert.current(); got == nil || string(got.Certificate[0]) != string(renewed.Raw) {
		t.Error("keys that cannot be used took the place of those read before")
	}
}
