package config

import (
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// Revision is the number of a configuration version. Each edit increments it. The
// revision in force in a process never decreases.
type Revision uint64

// PlanEntry is one row of the plans list. It assigns a plan to an organisation.
type PlanEntry struct {
	Organisation ident.Organisation `yaml:"organisation" json:"organisation"`
	Plan         ident.Plan         `yaml:"plan" json:"plan"`
	Weight       int                `yaml:"weight" json:"weight"` // Weight in fair queueing, at least 1.
}

// AdapterUse is one adapter that a plan may use.
type AdapterUse struct {
	Name    ident.Adapter   `yaml:"name" json:"name"`
	Version ident.Version   `yaml:"version" json:"version"`
	Base    ident.BaseModel `yaml:"base" json:"base"`
}

// Route is one route of a plain service.
type Route struct {
	Method     string `yaml:"method" json:"method"`
	Path       string `yaml:"path" json:"path"`             // Exact path, or a prefix ending in "/*".
	Idempotent bool   `yaml:"idempotent" json:"idempotent"` // Whether a request may safely run more than once.
	Open       bool   `yaml:"open" json:"open"`             // Whether callers without a key may use the route.
}

// ServiceUse is one plain service, with the routes of it that a plan may use.
type ServiceUse struct {
	Name   ident.Service `yaml:"name" json:"name"`
	Routes []Route       `yaml:"routes" json:"routes"`
}

// Allowance is one row of the allowances list. It defines the limits, adapters
// and services of a plan. Rate and burst apply to each organisation that has the
// plan, across all VMs.
type Allowance struct {
	Plan            ident.Plan   `yaml:"plan" json:"plan"`
	TokensPerSecond int64        `yaml:"tokens_per_second" json:"tokens_per_second"` // Rate limit.
	Burst           int64        `yaml:"burst" json:"burst"`                         // Burst in tokens.
	Priority        int          `yaml:"priority" json:"priority"`                   // A lower value runs first within an organisation.
	Adapters        []AdapterUse `yaml:"adapters,omitempty" json:"adapters,omitempty"`
	Services        []ServiceUse `yaml:"services,omitempty" json:"services,omitempty"`
}

// Key is one granted key. Only the hash of the key is stored.
type Key struct {
	Hash         ident.KeyHash      `json:"hash"`
	Organisation ident.Organisation `json:"organisation"`
}

// Plans is the operators' list of plans.
type Plans struct {
	Plans []PlanEntry `yaml:"plans" json:"plans"`
}

// Allowances is the operators' list of allowances.
type Allowances struct {
	Allowances []Allowance `yaml:"allowances" json:"allowances"`
}
