package settings

import (
	"bytes"
	"crypto/tls"
	"sync/atomic"
)

const maxPEMBytes = 1 << 20

type loadedPair struct {
	certificate []byte
	key         []byte
	pair        *tls.Certificate
}

// Certificate is a TLS certificate from files. Any goroutine may use it.
type Certificate struct {
	certificatePath string
	keyPath         string
	loaded          atomic.Pointer[loadedPair]
}

// NewCertificate returns an empty certificate for the files. Reload fills it.
func NewCertificate(certificatePath, keyPath string) *Certificate {
	return &Certificate{certificatePath: certificatePath, keyPath: keyPath}
}

// Reload reads the files if one changed. On an error, such as a key that does
// not match while only one file is replaced, the pair read before stays in use.
func (c *Certificate) Reload() error {
	certificate, err := readSmall(c.certificatePath, maxPEMBytes)
	if err != nil {
		return err
	}
	key, err := readSmall(c.keyPath, maxPEMBytes)
	if err != nil {
		return err
	}
	current := c.loaded.Load()
	if current != nil && bytes.Equal(current.certificate, certificate) && bytes.Equal(current.key, key) {
		return nil
	}
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return err
	}
	c.loaded.Store(&loadedPair{certificate: certificate, key: key, pair: &pair})
	return nil
}

// ServerConfig returns a configuration that serves the newest pair to each new connection.
func (c *Certificate) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.loaded.Load().pair, nil
		},
	}
}
