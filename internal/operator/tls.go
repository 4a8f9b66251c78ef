package operator

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"masticturn/internal/settings"
	"masticturn/internal/telemetry"
)

// keyCheckInterval is how often the key files are looked at, at most.
const keyCheckInterval = 5 * time.Second

// certificate is the listener's certificate, read again when its files change.
type certificate struct {
	files  settings.TLS
	logger *telemetry.Logger

	mu      sync.Mutex
	cert    *tls.Certificate
	changed time.Time // newest change of the files
	checked time.Time
}

func newCertificate(files settings.TLS, logger *telemetry.Logger) (*certificate, error) {
	c := &certificate{files: files, logger: logger}
	return c, c.reload()
}

// config returns the configuration of the listener.
func (c *certificate) config() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		NextProtos:     []string{"http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.current(), nil },
	}
}

// current returns the certificate. Keys that cannot be used leave the one read
// before in use.
func (c *certificate) current() *tls.Certificate {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.checked) >= keyCheckInterval {
		c.checked = now
		if err := c.reload(); err != nil {
			c.logger.Log(eventKeysInvalid, telemetry.Err(err))
		}
	}
	return c.cert
}

// reload reads the files if one of them has changed.
func (c *certificate) reload() error {
	var newest time.Time
	for _, name := range []string{c.files.CertFile, c.files.KeyFile} {
		info, err := os.Stat(name)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		if info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	if newest.Equal(c.changed) {
		return nil
	}
	c.changed = newest
	cert, err := tls.LoadX509KeyPair(c.files.CertFile, c.files.KeyFile)
	if err != nil {
		return trace.Wrap(err, "read the operators' keys %s, %s", c.files.CertFile, c.files.KeyFile)
	}
	c.cert = &cert
	return nil
}
