package intake

import (
	"sync"
	"time"
)

// unnamedRetention is how long requests get connections of their own after a response that named no request. Endpoints that
// leave the id out do so in refusals, which come while they are overloaded.
const unnamedRetention = time.Minute

// reuse decides whether requests may use connections that have carried other requests. On such a connection a response can only be
// attributed by the request id in it. The zero value permits none until a response has named its request.
type reuse struct {
	mu        sync.Mutex
	named     bool
	unnamedAt time.Time
}

// observe records whether a response that arrived now named its request.
func (r *reuse) observe(named bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.named = r.named || named
	if !named {
		r.unnamedAt = now
	}
}

// permitted reports whether a request may use a connection that has carried others.
func (r *reuse) permitted(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.named && (r.unnamedAt.IsZero() || now.Sub(r.unnamedAt) >= unnamedRetention)
}
