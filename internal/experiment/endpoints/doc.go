// Package endpoints measures placement, adapter slots and fair queueing
// together, on generated arrivals at the sizes of two deployments.
//
// The decisions are the real packages placement, fairqueue and slots, each
// driven with the run's own clock. Around them stands a fake of the engines,
// the weight store and the entries: one queue of events in order of time, steps
// of continuous batching whose length grows with the batch, its different
// adapters and the prompts that join it, and loads that are paced and slow down
// beyond a number in flight. The fake knows no faults.
//
// Each system under measurement meets the same arrivals: the product's own
// choice, and the baselines random endpoint, least loaded endpoint (with
// perfect knowledge of load), plain consistent hashing, first-in-first-out
// queue and least recently used slots.
package endpoints
