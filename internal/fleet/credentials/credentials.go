// Package credentials makes the certificates of a fleet's mutual TLS: one
// authority for the fleet and one certificate for each VM, which names the
// VM's IP numbers.
package credentials

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// Errors of this package.
const (
	// ErrMalformed says that a text holds no usable certificate or key.
	ErrMalformed = errors.ConstError("no usable PEM certificate or key")
	// ErrNoAddress says that a VM was given no IP number.
	ErrNoAddress = errors.ConstError("a VM's certificate needs at least one IP number")
)

const (
	serialBits = 128
	// backdate covers clocks of the fleet that differ a little.
	backdate = 5 * time.Minute
)

// Pair is a certificate with its private key, both as PEM.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// VM describes the VM that a certificate is for.
type VM struct {
	Name      ident.VM
	Addresses []net.IP // IP numbers under which other processes call it.
}

// NewAuthority returns a new authority that is valid from now for the given time.
func NewAuthority(now time.Time, validity time.Duration) (Pair, error) {
	template, err := newTemplate("hyssoptiller fleet authority", now, validity)
	if err != nil {
		return Pair{}, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, errors.Trace(err)
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return Pair{}, errors.Trace(err)
	}
	return encode(der, key)
}

// Issue returns a certificate for a VM, signed by the authority and valid from
// now for the given time.
func Issue(authority Pair, vm VM, now time.Time, validity time.Duration) (Pair, error) {
	if len(vm.Addresses) == 0 {
		return Pair{}, ErrNoAddress
	}
	issuer, issuerKey, err := decode(authority)
	if err != nil {
		return Pair{}, err
	}
	template, err := newTemplate(string(vm.Name), now, validity)
	if err != nil {
		return Pair{}, err
	}
	template.IPAddresses = vm.Addresses
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, errors.Trace(err)
	}
	der, err := x509.CreateCertificate(rand.Reader, template, issuer, key.Public(), issuerKey)
	if err != nil {
		return Pair{}, errors.Trace(err)
	}
	return encode(der, key)
}

func newTemplate(name string, now time.Time, validity time.Duration) (*x509.Certificate, error) {
	limit := new(big.Int).Lsh(big.NewInt(1), serialBits)
	serial, err := rand.Int(rand.Reader, limit)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(validity),
	}, nil
}

func encode(der []byte, key *ecdsa.PrivateKey) (Pair, error) {
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, errors.Trace(err)
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
	}, nil
}

func decode(p Pair) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	certBlock, _ := pem.Decode(p.Certificate)
	keyBlock, _ := pem.Decode(p.Key)
	if certBlock == nil || keyBlock == nil {
		return nil, nil, ErrMalformed
	}
	cert, err := x509.ParseCertificate(certBlock.Bytes)
	if err != nil {
		return nil, nil, errors.WithType(err, ErrMalformed)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(keyBlock.Bytes)
	if err != nil {
		return nil, nil, errors.WithType(err, ErrMalformed)
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok {
		return nil, nil, ErrMalformed
	}
	return cert, key, nil
}
