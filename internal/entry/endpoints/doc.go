// Package endpoints selects the endpoints that an entry tries for a job. It
// updates the placement policy with the VM list and with the outcomes of
// attempts.
//
// An attempt counts as outstanding at its endpoint only from its first
// observation, OutcomeSent, to the observation that ends it; all other
// observations are ignored.
package endpoints
