// Package quarantine simulates how entries handle failed attempts. One experiment
// counts the endpoints that crash because of bad requests and the innocent requests
// that suffer from it. The other counts the attempts that retries add while many
// attempts fail.
//
// The decisions are made by the product's packages quarantine and retry. The
// endpoints are simple models on a simulated clock, and arrivals are generated from a
// seed.
package quarantine
