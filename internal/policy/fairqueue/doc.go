// Package fairqueue decides which waiting attempt an endpoint runs next.
//
// Queue shares the endpoint between organisations by start-time fair queueing
// over tokens: each organisation has a virtual time that advances by tokens
// divided by its weight, and the organisation that is furthest behind goes
// next. Reserved tokens are corrected by those really used when an attempt
// ends. Within an organisation, lower priority classes go first; an attempt
// that waits moves up one class with each AgingStep.
//
// Two preferences bend that order within bounds. An attempt that cannot run
// yet does not hold up the others, but keeps its virtual time. An attempt whose
// build already runs may go before the one whose turn it is, to keep batches of
// one adapter together, at most MaxBypass times for each attempt passed over.
//
// The queue is bounded. An attempt that does not fit, or that cannot begin
// before its deadline at the measured rate, is refused at once with the time
// after which it would fit. Where the queue is full and one organisation
// holds more than its share of it, that organisation's newest attempt gives way.
package fairqueue
