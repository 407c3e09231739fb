// Package quota limits the request rate of each organisation over all routers.
//
// Each organisation has one quota owner among the reachable routers, selected by rendezvous
// hashing. The owner keeps the organisation's token bucket, and the other routers call it for
// every request. A router that becomes the owner fetches the balance from the previous owner.
// A router that reaches less than half of the other routers admits only a small part of each
// rate by itself, because the others do not count the requests that it admits.
//
// The requests to an endpoint of a plain service that names a rate limit or is cold are counted in the same
// way, by one owner for each endpoint. If the owner does not respond, a standby admits a part of
// the limit.
package quota
