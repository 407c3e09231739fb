// Package shares keeps this process's shares of the fleet-wide limits and asks
// other holders for tokens.
//
// Keeper runs on each entry: it holds shares, hands them over, and takes part
// in making generations. Asker runs on entries and agents: it gathers the
// tokens of one reservation. The decisions are those of package policy/limit;
// here are the calls, the loops and the locks around them.
package shares
