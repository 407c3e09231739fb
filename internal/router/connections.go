package router

import (
	"net"
	"net/http"

	"github.com/uber-go/tally/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/connlimit"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/connections"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

const (
	// fileDescriptors is the part of a VM's descriptors that is kept for files.
	fileDescriptors = 200
	// callersFDShare is the part of the others that connections of callers may take. A request in progress takes another
	// one to its endpoint, and the connections to schedulers and routers take some hundreds.
	callersFDShare = 0.5
	// connectionsMemoryShare is the part of the VM's memory for connections of callers, and again for what their unfinished
	// requests take besides the budget for bodies.
	connectionsMemoryShare = 0.25
	// connectionBytes is what an idle connection takes: a goroutine, two buffers of 4 KB, and its socket.
	connectionBytes = 32 << 10
	// unfinishedBytes is what an unfinished request takes besides its body: a goroutine, headers, and part of the socket
	// buffers, which few callers fill.
	unfinishedBytes = 64 << 10
	// maxOperatorConnections bounds the connections to the readiness check and to the metrics. A load balancer and a
	// collector of metrics have a few each.
	maxOperatorConnections = 64
)

// callerLimits returns the limits for connections of callers.
func (s Settings) callerLimits() connections.Limits {
	var l connections.Limits
	if s.MemoryMB > 0 {
		share := int(connectionsMemoryShare * float64(s.MemoryMB) * (1 << 20))
		l.Connections, l.Unfinished = share/connectionBytes, share/unfinishedBytes
	}
	if s.MaxFDs > 0 {
		n := max(int(callersFDShare*float64(s.MaxFDs-fileDescriptors)), 1)
		if l.Connections == 0 || n < l.Connections {
			l.Connections = n
		}
	}
	return l
}

// newLimiter returns a limiter of the connections of a listener.
func newLimiter(l connections.Limits, listener string, scope tally.Scope) *connlimit.Limiter {
	limiter := connlimit.New(l)
	limiter.OnClose = func(reason string) {
		scope.Tagged(map[string]string{"listener": listener, "reason": reason}).Counter("connections_closed_total").Inc(1)
	}
	return limiter
}

// limitConnections bounds the connections of a server for operators if the resources of the VM are known.
func (r *Router) limitConnections(s *http.Server, l net.Listener, name string) net.Listener {
	if r.settings.MemoryMB == 0 && r.settings.MaxFDs == 0 {
		return l
	}
	limiter := newLimiter(connections.Limits{Connections: maxOperatorConnections}, name, r.counters.scope)
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
