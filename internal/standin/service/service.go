// Package service is a stand-in for a plain service, a booking service. POST
// /deposits makes a deposit, which must not be repeated. GET /hours returns the
// opening hours.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	engineapi "github.com/hyssoptiller/hyssoptiller/internal/clients/engine"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

const (
	maxBodyBytes = 1 << 20
	bootIDBytes  = 6
)

// Deposit is the record of a POST /deposits request that ran.
type Deposit struct {
	Number int         `json:"number"` // Position in the order of arrival, from 1.
	Body   string      `json:"body"`
	Header http.Header `json:"-"`
}

// Server is an HTTP handler that acts as one instance of the booking service. It is
// safe for concurrent use.
type Server struct {
	router chi.Router
	boot   ident.BootID

	mu            sync.Mutex
	deposits      []Deposit
	delay         time.Duration
	loseResponses int // Number of next deposits whose responses are lost.
}

// NewServer returns an instance without deposits.
func NewServer() *Server {
	s := &Server{router: chi.NewRouter(), boot: ident.BootID(ident.RandomHex(bootIDBytes))}
	s.router.Get("/health", func(http.ResponseWriter, *http.Request) {})
	s.router.Post("/deposits", s.deposit)
	s.router.Get("/hours", s.hours)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(engineapi.HeaderBootID, string(s.boot))
	s.router.ServeHTTP(w, r)
}

// SetDelay sets the time that a deposit takes until the response.
func (s *Server) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// LoseResponses makes the next n deposits take effect and then close their connections
// without a response.
func (s *Server) LoseResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseResponses = n
}

// Deposits returns a copy of the deposits, in the order of their arrival.
func (s *Server) Deposits() []Deposit {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Deposit(nil), s.deposits...)
}

func (s *Server) deposit(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	d := Deposit{Number: len(s.deposits) + 1, Body: string(body), Header: r.Header.Clone()}
	s.deposits = append(s.deposits, d)
	delay := s.delay
	lose := s.loseResponses > 0
	if lose {
		s.loseResponses--
	}
	s.mu.Unlock()
	time.Sleep(delay)
	if lose {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(struct {
		Deposit int `json:"deposit"`
	}{d.Number})
}

func (s *Server) hours(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, `{"open":"18:00","close":"23:00"}`+"\n")
}
