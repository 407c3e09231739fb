package router

import (
	"sync"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/spreading"
)

// sendRates keeps the rate at which this router sends to each service: prefill milliseconds to
// engines, requests to endpoints of plain services.
type sendRates struct {
	mu        sync.Mutex
	byService map[string]*spreading.Rate
}

func newSendRates() *sendRates { return &sendRates{byService: make(map[string]*spreading.Rate)} }

// add records work that is sent to a service now.
func (s *sendRates) add(service string, work float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rate := s.byService[service]
	if rate == nil {
		rate = &spreading.Rate{}
		s.byService[service] = rate
	}
	rate.Add(work, now)
}

// others returns the rate per millisecond at which the other routers are expected to send to a
// service.
func (s *sendRates) others(service string, routers int, now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	rate := s.byService[service]
	if rate == nil {
		return 0
	}
	return spreading.OthersRate(rate.PerMS(now), routers)
}
