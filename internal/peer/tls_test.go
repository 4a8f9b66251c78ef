package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"masticturn/internal/settings"
)

// testCA is a certificate authority.
type testCA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newTestCA(t *testing.T) *testCA {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, _ := x509.ParseCertificate(der)
	return &testCA{cert, key}
}

// issue writes a certificate and key for a VM, and the CA certificate, to dir.
func (a *testCA) issue(t *testing.T, dir, vm string) settings.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), DNSNames: []string{vm},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, _ := x509.MarshalPKCS8PrivateKey(key)
	files := settings.TLS{
		CertFile: filepath.Join(dir, vm+".crt"), KeyFile: filepath.Join(dir, vm+".key"), CAFile: filepath.Join(dir, vm+".ca"),
	}
	writePEM(t, files.CertFile, "CERTIFICATE", der)
	writePEM(t, files.KeyFile, "PRIVATE KEY", keyDER)
	writePEM(t, files.CAFile, "CERTIFICATE", a.cert.Raw)
	return files
}

func writePEM(t *testing.T, file, blockType string, der []byte) {
	t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// startTCP starts a network that listens on the loopback interface.
func startTCP(t testing.TB, vm string, files settings.TLS) *TCP {
	t.Helper()
	n, err := NewTCP(Options{VM: vm, Listen: "127.0.0.1:0", TLS: files})
	if err != nil {
		t.Fatal(err)
	}
	n.Handle(KindPermit, echo)
	if err := n.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { stopAll(n) })
	return n
}

func TestMutualTLS(t *testing.T) {
	dir := t.TempDir()
	ca, otherCA := newTestCA(t), newTestCA(t)
	server := startTCP(t, "server", ca.issue(t, dir, "server"))
	cases := []struct {
		name string
		vm   string
		keys settings.TLS
		ok   bool
	}{
		{"valid certificate", "known", ca.issue(t, dir, "known"), true},
		{"no TLS", "plain", settings.TLS{}, false},
		{"certificate of another CA", "stranger", otherCA.issue(t, dir, "stranger"), false},
		{"certificate of another VM", "impostor", ca.issue(t, dir, "owner"), false},
	}
	for _, c := range cases {
		client := startTCP(t, c.vm, c.keys)
		client.SetAddress("server", server.Address())
		if err := callWithTimeout(client, "server", KindPermit, 5*time.Second); (err == nil) != c.ok {
			t.Errorf("%s: got %v", c.name, err)
		}
	}
}

func TestServerWithUnknownCAIsRefused(t *testing.T) {
	dir := t.TempDir()
	server := startTCP(t, "server", newTestCA(t).issue(t, dir, "server"))
	client := startTCP(t, "client", newTestCA(t).issue(t, dir, "client"))
	client.SetAddress("server", server.Address())
	if err := callWithTimeout(client, "server", KindPermit, 5*time.Second); !errors.Is(err, ErrRefused) {
		t.Errorf("got %v, want ErrRefused", err)
	}
}

func TestChangedKeysAreReloaded(t *testing.T) {
	dir := t.TempDir()
	ca := newTestCA(t)
	k, err := newKeys(ca.issue(t, dir, "vm"))
	if err != nil {
		t.Fatal(err)
	}
	before := k.config().Certificates[0].Certificate[0]
	ca.issue(t, dir, "vm")
	later := time.Now().Add(time.Minute)
	if err := os.Chtimes(k.files.CertFile, later, later); err != nil {
		t.Fatal(err)
	}
	if changed, err := k.reload(); err != nil || !changed {
		t.Fatalf("reload: changed %v, error %v; want a change", changed, err)
	}
	if string(k.config().Certificates[0].Certificate[0]) == string(before) {
		t.Error("the previous certificate is still in use")
	}
	if err := os.WriteFile(k.files.CertFile, []byte("no key"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := k.reload(); err == nil {
		t.Error("invalid keys were accepted")
	}
	if k.config().Certificates[0].Certificate == nil {
		t.Error("the previous keys were discarded")
	}
}
