// Package simclock provides the clock and event queue of discrete-event simulations.
// Events run in order of their simulated time, without waiting in real time.
package simclock

import (
	"container/heap"
	"time"
)

// Clock is a simulated clock with an event queue. Events with the same time run in the
// order in which they were added. The zero value is a clock at the start of a simulation.
// A Clock must not be used concurrently.
type Clock struct {
	now          time.Duration // Since the start of the simulation.
	queue        eventQueue
	lastSequence uint64
}

type event struct {
	at       time.Duration
	sequence uint64 // Order of addition.
	run      func()
}

// After schedules a function to run after a duration of simulated time. A duration of 0
// runs it after the events that are already scheduled for the current time.
func (c *Clock) After(d time.Duration, run func()) {
	c.lastSequence++
	heap.Push(&c.queue, event{at: c.now + d, sequence: c.lastSequence, run: run})
}

// RunUntil runs the events up to and including the time end, and then sets the clock to
// end.
func (c *Clock) RunUntil(end time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

// Now returns the simulated time since the start of the simulation.
func (c *Clock) Now() time.Duration { return c.now }

// Time returns the current simulated time as a time.Time. The simulation starts at the
// Unix epoch.
func (c *Clock) Time() time.Time {
	return time.Unix(0, 0).Add(c.now)
}

// eventQueue implements heap.Interface, with the earliest event first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}
