// Package sessions compares transcripts of whole sessions with golden files.
// Each session runs one deployment's typical day in a simulated fleet. Its
// transcript lists the requests of callers and operators, the responses they
// received and the requests that ran at the endpoints.
//
// Update the golden files with: go test ./internal/proof/sessions -update
package sessions
