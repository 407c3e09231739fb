package router

import (
	"net"
	"net/http"

	"github.com/hyssoptiller/hyssoptiller/internal/connlimit"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/connections"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

// maxOperatorConnections bounds the connections to the readiness check and to the metrics. A load balancer and a
// collector of metrics have a few each.
const maxOperatorConnections = 64

// limitConnections bounds the connections of a server for operators if the resources of the VM are known.
func (r *Router) limitConnections(s *http.Server, l net.Listener, name string) net.Listener {
	if r.settings.MemoryMB == 0 && r.settings.MaxFDs == 0 {
		return l
	}
	limiter := connlimit.New(connections.Limits{Connections: maxOperatorConnections}, name, r.counters.scope)
	limiter.Attach(s)
	return limiter.Listen(l)
}

// beginUnfinished records the request as unfinished. It refuses the request and returns false if there are too many.
func (r *Router) beginUnfinished(q *request) bool {
	if r.limiter.Begin(q.in.Context()) {
		return true
	}
	q.w.Header().Set("Connection", "close")
	r.refuse(q, refusal.CodeNoMemory, "There are too many unfinished requests.", noRoomRetryAfter)
	return false
}
