package catalog

import (
	"iter"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/coldstart"
)

// Kind states how often a request may run.
type Kind int

// Values of Kind.
const (
	KindUnsafe Kind = iota // At most once.
	KindSafe               // Any number of times.
	KindStream             // A stream of events; runs at most once unless the route is resumable.
)

// Split is a service of a route and its share of the route's requests.
type Split struct {
	Service string
	Weight  float64 // Share relative to the route's other splits.
}

// Route defines which services handle the requests of a host and path, and how.
type Route struct {
	Name          string
	Host          string
	PathPrefix    string // Starts and ends with a slash.
	Kind          Kind
	Splits        []Split       // At least one.
	Timeout       time.Duration // Longest time until the caller gets a response.
	LatencyTarget time.Duration // Time within which a response has its full value.
	GapTarget     time.Duration // Longest gap between two events that is on time.
	Priority      int           // 0 is the most urgent.
	MaxAttempts   int           // Maximum number of endpoints that may run one request.
	Public        bool          // Requests need no API key.
	Resumable     bool          // A stream may continue on another endpoint.
	// AllowedRegions are the regions whose endpoints may receive requests of the route; empty for all.
	AllowedRegions []string
}

// Idempotent reports whether a request may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// HasService reports whether requests of the route may go to a service.
func (r *Route) HasService(name string) bool {
	return slices.ContainsFunc(r.Splits, func(s Split) bool { return s.Service == name })
}

// SelectService returns the service for a request, by the weights of the splits. fraction is
// uniformly distributed in [0, 1).
func (r *Route) SelectService(fraction float64) string {
	total := 0.0
	for _, s := range r.Splits {
		total += s.Weight
	}
	remaining := fraction * total
	for _, s := range r.Splits {
		if remaining -= s.Weight; remaining < 0 {
			return s.Service
		}
	}
	return r.Splits[len(r.Splits)-1].Service
}

// Model is a base model that the engines of a service run.
type Model struct {
	Name      string
	WeightsMB float64 // Memory for the base model.
	AdapterMB float64 // Memory for each adapter.
}

// EngineCapacity describes the capacity of the model engines of a service.
type EngineCapacity struct {
	Slots        int     // Number of requests that run at the same time.
	KVTokens     int     // KV cache capacity for prompts and outputs, in tokens.
	AdapterSlots int     // Number of adapters that are loaded at the same time.
	WeightsMB    float64 // Memory for models and adapters together.
	Models       []Model
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name   string
	Engine *EngineCapacity // Nil for a plain service.
	Cold   coldstart.Settings
}

// Organisation owns API keys and has a quota, which applies to all VMs together.
type Organisation struct {
	Name          string
	Priority      int     // 0 is the most urgent; -1 uses the route's priority only.
	Rate          float64 // Units per second; 0 is unlimited.
	Burst         float64 // Units.
	CountsTokens  bool    // Units are tokens; otherwise requests.
	DefaultTokens float64 // Units of a request without a token count.
	// AllowedRegions are the regions whose endpoints may receive the organisation's requests; empty for all.
	AllowedRegions []string
}

// Limits bounds what a caller may send.
type Limits struct {
	MaxBodyBytes int64
}

// Config is one version of the operator's configuration.
type Config struct {
	Version       int64
	Services      map[string]*Service
	Organisations []*Organisation
	Limits        Limits

	routes map[string][]*Route      // By host, longest prefix first.
	keys   map[string]*Organisation // By API key.
}

// NewConfig returns an indexed configuration. keys maps API keys to organisations.
func NewConfig(version int64, routes []*Route, services map[string]*Service, keys map[string]*Organisation) *Config {
	c := &Config{Version: version, Services: services, routes: make(map[string][]*Route), keys: keys}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.routes[host] = append(c.routes[host], r)
	}
	for _, list := range c.routes {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].PathPrefix) > len(list[j].PathPrefix) })
	}
	return c
}

// allRoutes returns the routes of all hosts.
func (c *Config) allRoutes() iter.Seq[*Route] {
	return func(yield func(*Route) bool) {
		for _, routes := range c.routes {
			for _, r := range routes {
				if !yield(r) {
					return
				}
			}
		}
	}
}

// Route returns the host's route with the longest matching path prefix, or nil.
func (c *Config) Route(host, path string) *Route {
	for _, r := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// NeedsKeys reports whether requests need an API key. Public routes never need one.
func (c *Config) NeedsKeys() bool { return len(c.Organisations) > 0 }

// OrganisationByKey returns the organisation that owns an API key, or nil.
func (c *Config) OrganisationByKey(key string) *Organisation { return c.keys[key] }
