// Package credentials creates the certificates for mutual TLS in a fleet: one
// certificate authority per fleet and one certificate per VM, which contains the
// IP addresses of the VM.
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
	// ErrMalformed is returned if a Pair does not contain a PEM certificate and
	// a PEM ECDSA private key.
	ErrMalformed = errors.ConstError("certificate authority is not a pair of PEM blocks with an X.509 certificate and a PKCS #8 ECDSA private key")
	// ErrNoAddress is returned if a VM has no IP address.
	ErrNoAddress = errors.ConstError("certificate of a VM needs at least one IP address")
)

const (
	// serialBits is the size of random serial numbers.
	serialBits = 128
	// backdate is how long before its creation a certificate becomes valid, to
	// tolerate clock differences in the fleet.
	backdate = 5 * time.Minute
)

// Pair is a certificate and its private key, both PEM-encoded.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// VM describes the subject of a certificate.
type VM struct {
	Name      ident.VM
	Addresses []net.IP // IP addresses under which other processes call the VM.
}

// NewAuthority returns a new certificate authority with a self-signed
// certificate, valid from now for validity.
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

// Issue returns a certificate for vm, signed by authority and valid from now
// for validity. The certificate is valid for clients and servers. Issue returns
// ErrNoAddress or ErrMalformed on invalid arguments.
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

// newTemplate returns a certificate template with a random serial number.
func newTemplate(name string, now time.Time, validity time.Duration) (*x509.Certificate, error) {
	maxSerial := new(big.Int).Lsh(big.NewInt(1), serialBits)
	serial, err := rand.Int(rand.Reader, maxSerial)
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

// encode returns the pair in PEM.
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

// decode parses a pair.
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
