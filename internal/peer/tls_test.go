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

// authority is a CA of the tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, _ := x509.ParseCertificate(raw)
	return &authority{cert, key}
}

// issue writes key files for a VM into the directory.
func (a *authority) issue(t *testing.T, dir, vm string) settings.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), DNSNames: []string{vm},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyRaw, _ := x509.MarshalPKCS8PrivateKey(key)
	files := settings.TLS{
		CertFile: filepath.Join(dir, vm+".crt"), KeyFile: filepath.Join(dir, vm+".key"), CAFile: filepath.Join(dir, vm+".ca"),
	}
	writePEM(t, files.CertFile, "CERTIFICATE", raw)
	writePEM(t, files.KeyFile, "PRIVATE KEY", keyRaw)
	writePEM(t, files.CAFile, "CERTIFICATE", a.cert.Raw)
	return files
}

func writePEM(t *testing.T, file, kind string, raw []byte) {
	t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// listenTCP starts a network on loopback.
func listenTCP(t testing.TB, vm string, keys settings.TLS) *TCP {
	t.Helper()
	n, err := NewTCP(Options{VM: vm, Listen: "127.0.0.1:0", TLS: keys})
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
	ca, strangers := newAuthority(t), newAuthority(t)
	server := listenTCP(t, "server", ca.issue(t, dir, "server"))
	cases := []struct {
		name string
		vm   string
		keys settings.TLS
		ok   bool
	}{
		{"known", "known", ca.issue(t, dir, "known"), true},
		{"plain", "plain", settings.TLS{}, false},
		{"of another CA", "stranger", strangers.issue(t, dir, "stranger"), false},
		{"with the certificate of another VM", "thief", ca.issue(t, dir, "owner"), false},
	}
	for _, c := range cases {
		client := listenTCP(t, c.vm, c.keys)
		client.SetAddress("server", server.Address())
		if err := ask(client, "server", KindPermit, 5*time.Second); (err == nil) != c.ok {
			t.Errorf("%s: got %v", c.name, err)
		}
	}
}

func TestServerOfAnotherCAIsRefused(t *testing.T) {
	dir := t.TempDir()
	server := listenTCP(t, "server", newAuthority(t).issue(t, dir, "server"))
	client := listenTCP(t, "client", newAuthority(t).issue(t, dir, "client"))
	client.SetAddress("server", server.Address())
	if err := ask(client, "server", KindPermit, 5*time.Second); !errors.Is(err, ErrRefused) {
		t.Errorf("got %v, want a refusal", err)
	}
}

func TestKeysAreReadAgain(t *testing.T) {
	dir := t.TempDir()
	ca := newAuthority(t)
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
		t.Fatalf("got %v, %v", changed, err)
	}
	if string(k.config().Certificates[0].Certificate[0]) == string(before) {
		t.Error("the old certificate is still in use")
	}
	if err := os.WriteFile(k.files.CertFile, []byte("no key"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := k.reload(); err == nil {
		t.Error("invalid keys were taken")
	}
	if k.config().Certificates[0].Certificate == nil {
		t.Error("the keys read before were given up")
	}
}
