// Package shares holds the shares of the fleet-wide limits in this process and
// reserves tokens from the share holders.
//
// ShareHolder is the holder side and runs on each entry. It holds shares, hands them
// over, and takes part in creating generations. Reserver is the reserving side and
// runs on entries and agents. It gathers the tokens of one reservation from one
// or more holders.
//
// Package policy/limit makes the decisions and guarantees that an account
// admits no more than its burst and rate allow. This package adds the calls,
// the loops and the locks.
package shares
