// Package freshness decides whether an entry may trust its copy of the API keys.
//
// The guarantee: once the withdrawal of a key is reported in force, no entry
// admits a request with that key, or lets one continue to run, for longer than
// 5 s. An entry is fresh while one of these conditions holds:
//
//   - Within the last ConfirmationValidity, the store confirmed a revision that is not
//     above the one in force in this entry. The confirmation may have been
//     relayed by other entries.
//   - A majority of the listed entries, including this one, were in contact
//     within the last ContactValidity, directly or relayed by others, and none of
//     them holds a higher revision.
//
// A withdrawal is reported in force when it is in the store and a majority of
// the listed entries hold it. From then on, any majority of recent contacts
// includes an entry that holds the higher revision, and that contact conveys the
// revision. An entry without the withdrawal therefore does not stay fresh by the
// second condition. If it is fresh by the first condition, the confirmation is
// older than the withdrawal and expires in time.
//
// Ages count from when a request was sent, never from when a response or
// message arrived. Late messages and a paused process therefore cannot make old
// facts look recent.
//
// State makes the decisions and does no I/O. Tracker adds a lock, logs and
// metrics.
package freshness
