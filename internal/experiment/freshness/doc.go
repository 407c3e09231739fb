// Package freshness simulates the freshness rule, by which an entry decides whether it
// trusts its keys. It measures the refusals that the rule causes and the time for
// which a withdrawn key is still trusted, without a fault and with failures of the
// store and network partitions, and compares them with two baselines.
//
// The decisions are made by the product's packages freshness, gossip and config. The
// store, the network and the fan-out of the configuration are models.
package freshness
