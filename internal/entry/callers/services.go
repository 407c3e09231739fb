package callers

import (
	"net/http"
	"strings"

	"github.com/go-chi/chi/v5"

	"github.com/hyssoptiller/hyssoptiller/internal/entry/dispatch"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/wire"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

// serviceCostTokens is the quota cost of one call of a plain service.
const serviceCostTokens = 1

// serveService handles a call of a plain service. The path after the service's
// name must match a route of that service.
func (h *handler) serveService(w http.ResponseWriter, r *http.Request) {
	c := h.newCall(w, r)
	service := ident.Service(chi.URLParam(r, "service"))
	path := "/" + strings.TrimPrefix(chi.URLParam(r, "*"), "/")
	route, refused := h.findRoute(c, service, path)
	if refused != nil {
		h.refuse(c, refused)
		return
	}
	defer c.releaseBody()
	body, refused := h.readRequest(c, serviceCopies)
	if refused != nil {
		h.refuse(c, refused)
		return
	}
	h.run(c, serviceRequest(c, service, route, path, body))
}

// findRoute returns the route for the call's method and path. It looks for an
// open route first, which needs no key. Otherwise it authenticates the caller and
// looks for a route in the organisation's plan.
func (h *handler) findRoute(c *call, service ident.Service, path string) (config.Route, *refusal.Refusal) {
	route, ok := c.config.OpenRoute(service, c.r.Method, path)
	if ok {
		return route, nil
	}
	if refused := h.authenticate(c); refused != nil {
		return config.Route{}, refused
	}
	route, ok = c.config.Route(c.limits.Organisation, service, c.r.Method, path)
	if !ok {
		return config.Route{}, unknownRoute()
	}
	return route, nil
}

// serviceRequest returns the request to dispatch. The query is forwarded with the
// path. An open route has no organisation, so its weight defaults to 1.
func serviceRequest(c *call, service ident.Service, route config.Route, path string, body []byte) dispatch.Request {
	if c.r.URL.RawQuery != "" {
		path += "?" + c.r.URL.RawQuery
	}
	return dispatch.Request{
		Body: body,
		Job: wire.Job{
			RequestID:      c.id,
			Organisation:   c.limits.Organisation,
			Service:        service,
			Method:         c.r.Method,
			Path:           path,
			ContentType:    c.r.Header.Get("Content-Type"),
			Idempotent:     route.Idempotent,
			IdempotencyKey: c.r.Header.Get(headerIdempotencyKey),
			Priority:       c.limits.Priority,
			Weight:         max(c.limits.Weight, 1),
			Cost:           serviceCostTokens,
		},
	}
}
