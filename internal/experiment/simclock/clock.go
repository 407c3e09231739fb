// Package simclock runs the events of an experiment in order of time, as fast as
// they can be computed.
package simclock

import (
	"container/heap"
	"time"
)

// Clock runs events in order of time; events of the same time run in the order
// in which they were added. The zero value stands at the beginning of a run.
type Clock struct {
	now    time.Duration
	queue  eventQueue
	events uint64
}

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// After runs a function once so much time has passed.
func (c *Clock) After(d time.Duration, run func()) {
	c.events++
	heap.Push(&c.queue, event{at: c.now + d, order: c.events, run: run})
}

// Until runs the events up to the given time.
func (c *Clock) Until(end time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

// Now returns the time since the beginning of the run.
func (c *Clock) Now() time.Duration { return c.now }

// Time returns the present in the form that the decisions take.
func (c *Clock) Time() time.Time {
	return time.Unix(0, 0).Add(c.now)
}

// eventQueue is a heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}
