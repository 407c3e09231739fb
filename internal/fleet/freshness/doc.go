// Package freshness decides whether an entry may trust the keys that it holds.
//
// The promise: once a withdrawn key is reported in force, no entry admits a
// request of that key, nor lets one run on, for longer than 5 s. An entry is
// fresh while one of these holds:
//
//   - The store confirmed, within ConfirmLife, a revision that is not above the
//     one in force here. The confirmation may have come through other entries.
//   - A majority of the listed entries, this one included, have been heard of
//     within ContactLife, directly or through others, and none of them holds a
//     higher revision.
//
// A withdrawal is reported in force when the store has it and a majority of
// the listed entries hold it. An entry that is fresh by the second rule has
// heard of at least one of those, later than the report, and so knows of the
// higher revision. An entry that is fresh by the first rule lives on a
// confirmation that is older than the withdrawal, and that ends in time.
//
// Ages are counted from when the question was sent, never from when an answer
// or a message arrived, so that late messages and a paused process cannot make
// old news look recent. State is pure; Tracker is State behind a lock.
package freshness
