package callers

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

const bearerPrefix = "Bearer "

// bearerKey returns the key of the Authorization header, or "".
func bearerKey(r *http.Request) string {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok {
		return ""
	}
	return key
}

// authenticate finds the organisation of the call's key.
func (h *handler) authenticate(c *call) *refusal.Refusal {
	key := bearerKey(c.r)
	if key == "" {
		return missingKey()
	}
	if !h.opts.Freshness.Fresh() {
		return stale()
	}
	hash := ident.HashKey(key)
	org, ok := c.config.Key(hash)
	if !ok {
		return unknownKey()
	}
	tenant, ok := c.config.Tenant(org)
	if !ok {
		return noPlan()
	}
	c.key = hash
	c.tenant = tenant
	return nil
}

// refuseLeak refuses a request that holds its caller's key in a place that
// reaches an agent or an endpoint.
func refuseLeak(c *call, body []byte) *refusal.Refusal {
	key := bearerKey(c.r)
	if key == "" {
		return nil
	}
	leaks := strings.Contains(c.r.URL.Path, key) ||
		strings.Contains(c.r.URL.RawQuery, key) ||
		strings.Contains(c.r.Header.Get(headerIdempotencyKey), key) ||
		strings.Contains(c.r.Header.Get("Content-Type"), key) ||
		bytes.Contains(body, []byte(key))
	if leaks {
		return badRequest("the key may stand in the Authorization header only")
	}
	return nil
}
