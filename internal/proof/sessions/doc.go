// Package sessions holds golden files of whole sessions: a day in small for
// each deployment, as a transcript of what callers and operators did, what
// they got, and what ran where.
//
// Renew the files with: go test ./internal/proof/sessions -update
package sessions
