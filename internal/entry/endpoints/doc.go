// Package endpoints is the entry's service that chooses endpoints for jobs. It
// feeds package placement with the VM list and with what became of attempts.
package endpoints
