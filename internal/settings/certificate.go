package settings

import (
	"bytes"
	"crypto/tls"
	"sync/atomic"
)

const maxPEMBytes = 1 << 20

type keyPair struct {
	certificate []byte
	key         []byte
	pair        *tls.Certificate
}

// Certificate is a TLS certificate and its key, loaded from files. It is safe
// for concurrent use.
type Certificate struct {
	certificatePath string
	keyPath         string
	loaded          atomic.Pointer[keyPair]
}

// NewCertificate returns an empty certificate for the files. Reload must succeed
// once before ServerConfig is used for a connection.
func NewCertificate(certificatePath, keyPath string) *Certificate {
	return &Certificate{certificatePath: certificatePath, keyPath: keyPath}
}

// Reload reads the files and loads the pair if either changed. On an error, such
// as a key that does not match because only one file has been replaced so far,
// the previous pair stays in use.
func (c *Certificate) Reload() error {
	certificate, err := readFileUpTo(c.certificatePath, maxPEMBytes)
	if err != nil {
		return err
	}
	key, err := readFileUpTo(c.keyPath, maxPEMBytes)
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
	c.loaded.Store(&keyPair{certificate: certificate, key: key, pair: &pair})
	return nil
}

// ServerConfig returns a configuration that presents the pair loaded last to each
// new connection.
func (c *Certificate) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.loaded.Load().pair, nil
		},
	}
}
