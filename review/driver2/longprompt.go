package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// manyLines is the number of parts of a prompt that has one for each line of its text. The header of a request with them has
	// less than 16,384 bytes, the bound of the configuration.
	manyLines = 1420
	// promptTokens is the size of such a prompt. The class has prompts of up to 39,600 tokens.
	promptTokens = manyLines * 4
	// faultEnds is the number of ends of a process in the day that count, faultMachines the number of machines with them.
	faultEnds     = 3
	faultMachines = 2
)

// textOf returns the parts of a prompt of some lines: the first one is the same in all prompts.
func textOf(lines int) string {
	var parts strings.Builder
	fmt.Fprintf(&parts, "%s:%d", sharedPart, promptTokens/lines)
	for range lines - 1 {
		fmt.Fprintf(&parts, ",%s:%d", newID()[:8], promptTokens/lines)
	}
	return parts.String()
}

// longPrompts: clients send prompts of many short parts. The platform ends a process that exceeds its memory.
func longPrompts(f *fleet) {
	fronts, sides, _ := f.deployment(2, 3)
	lines := manyLines
	if !f.trouble {
		lines = 3
	}
	var mu sync.Mutex
	kills := make([]int, len(sides))
	peak := 0.0
	for i, side := range sides {
		go func() {
			for {
				mb := residentMB(side.pid())
				mu.Lock()
				peak = max(peak, mb)
				mu.Unlock()
				if mb > sideMemoryMB {
					f.log("%s holds %.0f MB, more than its %d MB: the platform kills it and starts it again", side.name, mb, sideMemoryMB)
					side.kill()
					mu.Lock()
					kills[i]++
					mu.Unlock()
					time.Sleep(time.Second)
					side.start()
				}
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	stop := make(chan struct{})
	n := 0
	go f.traffic(fronts, 210*time.Millisecond, stop, func() call {
		mu.Lock()
		defer mu.Unlock()
		n++
		return call{
			path: "/digest/x", adapter: fmt.Sprintf("a%d", n%9), prompt: promptTokens, output: 50, limit: 5 * time.Second, parts: textOf(lines),
			body: strings.Repeat("b", 9200),
		}
	})
	for range 80 {
		time.Sleep(time.Second)
		mu.Lock()
		f.log("schedulers hold %.0f, %.0f and %.0f MB, at most %.0f MB so far; killed %v times", residentMB(sides[0].pid()),
			residentMB(sides[1].pid()), residentMB(sides[2].pid()), peak, kills)
		mu.Unlock()
	}
	close(stop)
	time.Sleep(2 * time.Second)
	mu.Lock()
	machines := 0
	for _, n := range kills {
		if n >= faultEnds {
			machines++
		}
	}
	text := fmt.Sprintf("schedulers were killed for their memory %v times; it was at most %.0f MB", kills, peak)
	mu.Unlock()
	if machines >= faultMachines {
		f.end(exitBroken, "%s", text)
	}
	f.end(exitHeld, "%s", text)
}
