package demo

import "github.com/hyssoptiller/hyssoptiller/internal/ident"

// seedPlans is the plans list of the demo in YAML.
const seedPlans = `plans:
  - organisation: smithy
    plan: school
    weight: 1
  - organisation: lima
    plan: crew
    weight: 1
`

// seedAllowances is the allowances list of the demo in YAML.
const seedAllowances = `allowances:
  - plan: school
    tokens_per_second: 2000
    burst: 20000
    priority: 1
    adapters:
      - name: syllabus
        version: v1
        base: base-7b
    services:
      - name: booking
        routes:
          - method: POST
            path: /deposits
            idempotent: false
          - method: GET
            path: /hours
            idempotent: true
            open: true
  - plan: crew
    tokens_per_second: 2000
    burst: 20000
    priority: 1
    adapters:
      - name: leak-brief
        version: v1
        base: base-7b
`

// seedKey is a caller's key with the organisation that it belongs to.
type seedKey struct {
	key          string
	organisation ident.Organisation
}

var seedKeys = []seedKey{
	{"demo-smithy", "smithy"},
	{"demo-lima", "lima"},
}
