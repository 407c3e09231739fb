package router

import "sync"

const (
	// lengthFirst is assumed of the streams of a route before one was seen.
	lengthFirst = 20.0
	// lengthWeight weighs a new stream in the moving average.
	lengthWeight = 0.1
)

// lengths are the events that the streams of each route make on average.
type lengths struct {
	mu      sync.Mutex
	byRoute map[string]float64
}

func newLengths() *lengths { return &lengths{byRoute: make(map[string]float64)} }

// of returns the events of a route's streams.
func (l *lengths) of(route string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n, known := l.byRoute[route]; known {
		return n
	}
	return lengthFirst
}

// note takes the events of a stream that has ended whole.
func (l *lengths) note(route string, events int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, known := l.byRoute[route]
	if !known {
		n = lengthFirst
	}
	l.byRoute[route] = n + lengthWeight*(float64(events)-n)
}
