// Package scheduler implements the scheduler process, which runs on the VM of one model
// engine. It is the only process that sends orders to the engine. It grants requests of the
// routers and sends the routers snapshots of the engine's state.
//
// A grant is an HTTP request that the router holds open. The grant is released when either
// side ends the request. Routers send their requests to the engine directly, so the loss of a
// scheduler breaks no running stream.
package scheduler
