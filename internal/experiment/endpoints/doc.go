// Package endpoints simulates placement, adapter slots and fair queueing together,
// at the sizes of two deployments, and compares them with baselines.
//
// The decisions are made by the product's packages placement, fairqueue and slots,
// which run on the simulated clock. The engines, the weight store and the entries
// are models without failures. An engine runs continuous batching, where a step
// takes longer with the size of the batch, the number of different adapters in it
// and the prompts that join it. The weight store limits the rate of loads, and
// loads take longer if many of them run at once.
//
// All systems get the same arrivals: the product's, and the baselines random
// endpoint, least loaded endpoint (with exact knowledge of the load), plain
// consistent hashing, first-in-first-out queue and least recently used slots.
package endpoints
