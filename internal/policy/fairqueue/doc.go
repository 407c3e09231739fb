// Package fairqueue selects the waiting attempt that an endpoint runs next.
//
// Queue shares the endpoint between organisations by start-time fair queueing
// over tokens. Each organisation has a virtual time that advances by the tokens of
// its attempts divided by its weight. The organisation with the lowest virtual time
// is served next. When an attempt ends, the virtual time is corrected by the
// difference between reserved and used tokens. Within an organisation, lower
// priority classes are served first. A waiting attempt moves up one class with each
// AgingStep.
//
// Two rules deviate from this order within bounds. An attempt that cannot run yet
// does not block the others, and its organisation keeps its virtual time. An attempt
// whose build already runs may overtake the next attempt in order, which keeps
// batches of one adapter together. An attempt is overtaken in this way at most
// MaxBypass times while it is next in order.
//
// The queue is bounded. An attempt that does not fit, or that cannot start before
// its deadline at the measured service rate, is refused immediately with the time
// after which to retry. If the queue is full and another organisation has more
// than its share of the waiting attempts, its newest attempt is displaced.
package fairqueue
