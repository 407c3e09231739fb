package callers

import (
	"strings"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

const bearerPrefix = "Bearer "

// authenticate finds the organisation of the call's key.
func (h *handler) authenticate(c *call) *refusal.Refusal {
	key, ok := strings.CutPrefix(c.r.Header.Get("Authorization"), bearerPrefix)
	if !ok || key == "" {
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
