package router

import "sync"

const (
	// initialStreamEvents is the assumed length of a route's streams, in events, until the
	// first stream has ended.
	initialStreamEvents = 20.0
	// streamEventsWeight is the weight of a new stream in the moving average.
	streamEventsWeight = 0.1
)

// streamLengths keeps the average number of events per stream for each route.
type streamLengths struct {
	mu      sync.Mutex
	byRoute map[string]float64
}

func newStreamLengths() *streamLengths { return &streamLengths{byRoute: make(map[string]float64)} }

// expected returns the average number of events of the route's streams.
func (l *streamLengths) expected(route string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n, ok := l.byRoute[route]; ok {
		return n
	}
	return initialStreamEvents
}

// record adds a completed stream to the route's average.
func (l *streamLengths) record(route string, events int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, ok := l.byRoute[route]
	if !ok {
		n = initialStreamEvents
	}
	l.byRoute[route] = n + streamEventsWeight*(float64(events)-n)
}
