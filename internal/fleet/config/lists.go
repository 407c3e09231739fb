package config

import (
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// Revision counts the accepted changes of the configuration. It never
// decreases in force anywhere.
type Revision uint64

// PlanEntry is one row of the plans list: which plan an organisation has.
type PlanEntry struct {
	Organisation ident.Organisation `yaml:"organisation" json:"organisation"`
	Plan         ident.Plan         `yaml:"plan" json:"plan"`
	Weight       int                `yaml:"weight" json:"weight"` // Share in fair queueing, at least 1.
}

// AdapterUse is one adapter that a plan may use.
type AdapterUse struct {
	Name    ident.Adapter `yaml:"name" json:"name"`
	Version ident.Version `yaml:"version" json:"version"`
	Base    ident.Base    `yaml:"base" json:"base"`
}

// Route is one route of a plain service.
type Route struct {
	Method     string `yaml:"method" json:"method"`
	Path       string `yaml:"path" json:"path"`             // Exact path, or a prefix that ends with "/*".
	Idempotent bool   `yaml:"idempotent" json:"idempotent"` // Whether a second run does no harm.
	Open       bool   `yaml:"open" json:"open"`             // Whether callers without a key may use it.
}

// ServiceUse is one plain service that a plan may use.
type ServiceUse struct {
	Name   ident.Service `yaml:"name" json:"name"`
	Routes []Route       `yaml:"routes" json:"routes"`
}

// Allowance is one row of the allowances list: what a plan may use.
type Allowance struct {
	Plan            ident.Plan   `yaml:"plan" json:"plan"`
	TokensPerSecond int64        `yaml:"tokens_per_second" json:"tokens_per_second"` // For each organisation, over all VMs.
	Burst           int64        `yaml:"burst" json:"burst"`                         // Tokens, for each organisation, over all VMs.
	Priority        int          `yaml:"priority" json:"priority"`                   // Lower runs first within an organisation.
	Adapters        []AdapterUse `yaml:"adapters,omitempty" json:"adapters,omitempty"`
	Services        []ServiceUse `yaml:"services,omitempty" json:"services,omitempty"`
}

// Key is one granted key, known by its hash only.
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
