// Package config measures what the freshness rule costs in refusals and how
// long a withdrawn key lives, in normal running and in the split cases,
// against two baselines in the same run.
package config
