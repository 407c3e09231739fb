// Package ident defines the identifier types that all other packages share.
// Identifiers are opaque strings. Separate types let the compiler reject an
// organisation that is passed where an endpoint is expected.
package ident

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"regexp"
)

// Organisation identifies a customer of the fleet.
type Organisation string

// Plan identifies a plan of the allowances list.
type Plan string

// Adapter identifies a LoRA adapter. Callers send it in the field "model" of a
// request.
type Adapter string

// Version identifies an immutable build of an adapter.
type Version string

// BaseModel identifies a base model.
type BaseModel string

// Service identifies a plain service.
type Service string

// Endpoint identifies a model engine or an instance of a plain service.
type Endpoint string

// VM identifies a virtual machine on the VM list of the platform.
type VM string

// FailureDomain identifies a group of VMs that can fail together.
type FailureDomain string

// Region identifies a group of failure domains that can become unreachable
// together.
type Region string

// RequestID identifies a request of a caller. All attempts of the request share
// it.
type RequestID string

// AttemptID identifies one attempt to run a request on an endpoint.
type AttemptID string

// BootID identifies one incarnation of an endpoint's process. It changes when the
// process restarts.
type BootID string

// KeyHash is the SHA-256 hash of a caller's key in lower-case hexadecimal digits.
type KeyHash string

const (
	idBytes           = 12 // Random bytes of a request or attempt identifier.
	maxNameBytes      = 128
	maxRequestIDBytes = 64
)

var (
	namePattern      = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
	requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]+$`)
)

// HashKey returns the hash that is stored in place of a caller's key.
func HashKey(key string) KeyHash {
	sum := sha256.Sum256([]byte(key))
	return KeyHash(hex.EncodeToString(sum[:]))
}

// NewRequestID returns a random identifier for a request.
func NewRequestID() RequestID {
	return RequestID(randomHex(idBytes))
}

// NewAttemptID returns a random identifier for an attempt.
func NewAttemptID() AttemptID {
	return AttemptID(randomHex(idBytes))
}

// RandomHex returns n random bytes as 2n hexadecimal digits.
func RandomHex(n int) string {
	return randomHex(n)
}

// ValidName reports whether name is valid for an organisation, a plan, an adapter,
// a version or a service. A valid name has 1 to 128 ASCII letters, digits, dots,
// underscores and hyphens, and begins with a letter or a digit.
func ValidName(name string) bool {
	if len(name) > maxNameBytes {
		return false
	}
	return namePattern.MatchString(name)
}

// ValidRequestID reports whether the X-Request-Id of a caller can serve as the
// RequestID. A valid id has 1 to 64 ASCII letters, digits, dots, underscores,
// colons and hyphens.
func ValidRequestID(id string) bool {
	if len(id) > maxRequestIDBytes {
		return false
	}
	return requestIDPattern.MatchString(id)
}

func randomHex(n int) string {
	buf := make([]byte, n)
	_, _ = rand.Read(buf) // crypto/rand.Read never returns an error.
	return hex.EncodeToString(buf)
}
