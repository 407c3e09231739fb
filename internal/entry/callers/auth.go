package callers

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

const bearerPrefix = "Bearer "

// bearerKey returns the API key in the Authorization header, or "" if there is
// no bearer key.
func bearerKey(r *http.Request) string {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok {
		return ""
	}
	return key
}

// authenticate looks up the caller's key in the configuration and sets the key's
// hash and organisation on c. It returns a refusal if the key is missing, unknown
// or without a plan, or if this entry's configuration is stale.
func (h *handler) authenticate(c *call) *refusal.Refusal {
	key := bearerKey(c.r)
	if key == "" {
		return missingKey()
	}
	if !h.opts.Freshness.IsFresh() {
		return staleConfiguration()
	}
	hash := ident.HashKey(key)
	org, ok := c.config.Key(hash)
	if !ok {
		return unknownKey()
	}
	limits, ok := c.config.OrganisationLimits(org)
	if !ok {
		return noPlan()
	}
	c.key = hash
	c.limits = limits
	return nil
}

// checkKeyNotForwarded refuses a request that contains the caller's key in a part
// that is forwarded to an agent or an endpoint.
func checkKeyNotForwarded(c *call, body []byte) *refusal.Refusal {
	key := bearerKey(c.r)
	if key == "" {
		return nil
	}
	forwarded := strings.Contains(c.r.URL.Path, key) ||
		strings.Contains(c.r.URL.RawQuery, key) ||
		strings.Contains(c.r.Header.Get(headerIdempotencyKey), key) ||
		strings.Contains(c.r.Header.Get("Content-Type"), key) ||
		bytes.Contains(body, []byte(key))
	if forwarded {
		return badRequest("the key may stand in the Authorization header only")
	}
	return nil
}
