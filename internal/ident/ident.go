// Package ident holds the typed identifiers that every other package shares.
// Identifiers are opaque strings; the types keep an organisation from being
// passed where an endpoint is expected.
package ident

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"regexp"
)

// Organisation names one customer of the fleet.
type Organisation string

// Plan names an entry of the allowances list.
type Plan string

// Adapter names a LoRA adapter as callers give it in the field "model".
type Adapter string

// Version names one immutable build of an adapter.
type Version string

// Base names a base model.
type Base string

// Service names a plain service.
type Service string

// Endpoint names a model engine or a plain service instance.
type Endpoint string

// VM names a virtual machine of the platform's VM list.
type VM string

// FailureDomain names a group of VMs that can be lost together.
type FailureDomain string

// Region names a group of failure domains that can be cut off together.
type Region string

// RequestID names one request of a caller, across all its attempts.
type RequestID string

// AttemptID names one attempt to run a request on an endpoint.
type AttemptID string

// BootID names one life of an endpoint's engine process.
type BootID string

// KeyHash is the lower-case hexadecimal SHA-256 of a caller's key.
type KeyHash string

const (
	requestIDBytes  = 12
	maxNameBytes    = 128
	maxRequestBytes = 64
)

var (
	namePattern      = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
	requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]+$`)
)

// HashKey returns the hash under which a caller's key is stored.
func HashKey(key string) KeyHash {
	sum := sha256.Sum256([]byte(key))
	return KeyHash(hex.EncodeToString(sum[:]))
}

// NewRequestID returns a random request identifier.
func NewRequestID() RequestID {
	return RequestID(randomHex(requestIDBytes))
}

// NewAttemptID returns a random attempt identifier.
func NewAttemptID() AttemptID {
	return AttemptID(randomHex(requestIDBytes))
}

// NewToken returns a random identifier of n bytes in hexadecimal.
func NewToken(n int) string {
	return randomHex(n)
}

// ValidName reports whether name can be used for an organisation, a plan, an
// adapter, a version or a service: 1 to 128 letters, digits, dots,
// underscores and hyphens, starting with a letter or digit.
func ValidName(name string) bool {
	if len(name) > maxNameBytes {
		return false
	}
	return namePattern.MatchString(name)
}

// ValidRequestID reports whether a caller's X-Request-Id can be taken over.
func ValidRequestID(id string) bool {
	if len(id) > maxRequestBytes {
		return false
	}
	return requestIDPattern.MatchString(id)
}

func randomHex(n int) string {
	buf := make([]byte, n)
	_, _ = rand.Read(buf) // crypto/rand.Read never returns an error.
	return hex.EncodeToString(buf)
}
