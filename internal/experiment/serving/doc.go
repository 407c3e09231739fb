// Package serving simulates requests for adapters on a fleet of engines and
// compares strategies that choose the engines.
//
// The decisions of the product are made by the packages routing and grants, which
// run on the simulated clock. The rest of the system is a model:
//   - Engines prefill prompts in chunks, while they generate a token per step for
//     each prefilled run of the batch. They have a bounded number of adapter slots.
//   - Adapters cached on an engine's host load quickly. Other adapters come from a
//     weight store, where transfers take longer if many of them run at once.
//   - Routers decide on snapshots of the engines that are up to 120 ms old.
//   - Callers submit a refused request once more.
//
// All strategies get the same arrivals: the product's, the product's without its
// limits on loads, and three baselines: a random engine, the least loaded engine
// (with exact knowledge of the queues) and plain consistent hashing.
//
// The experiment spreading compares ways to choose by older snapshots, on engines of uneven speed in three failure
// domains whose demand swings: snapshots are 100 to 600 ms old, and a part of them may be lost.
//
// The model leaves out memory and preemption, failures of single runs, quotas,
// plain services, the cost of bytes between failure domains and the processing time of routers
// and schedulers.
package serving
