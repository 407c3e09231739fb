// Package serving measures where requests for adapters go and who is refused, on
// generated days of a deployment's size.
//
// The decisions are the real packages routing and turns, driven with the run's
// own clock. Around them stands a model of the served system: engines that read
// prompts in pieces between the tokens of their batch, places for adapters,
// copies of adapters that load quickly, and a weight store whose transfers slow
// each other beyond a number of them; routers that see the engines' state late.
// Callers come back once after a refusal.
//
// Each way to choose meets the same arrivals: the product's, the product's
// without its bounds of loads, and the baselines random engine, least loaded
// engine (with perfect knowledge of queues) and plain consistent hashing.
//
// The model leaves out: memory and preemption, failures of runs, quotas, plain
// services, several failure domains and the time of the system's own processes.
package serving
