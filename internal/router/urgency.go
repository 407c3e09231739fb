package router

import (
	"slices"
	"sync"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
)

// urgencyClasses knows the priorities of the requests that a configuration allows for each service.
type urgencyClasses struct {
	mu        sync.Mutex
	config    *catalog.Config // That byService is of.
	byService map[string][]int
}

// rank returns the rank of a priority among the classes of requests for a service: 0 for the most urgent, 1 for the
// least urgent of several.
func (u *urgencyClasses) rank(c *catalog.Config, service string, priority int) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.config != c {
		u.config, u.byService = c, make(map[string][]int)
	}
	list, ok := u.byService[service]
	if !ok {
		list = priorities(c, service)
		u.byService[service] = list
	}
	moreUrgent, _ := slices.BinarySearch(list, priority)
	if moreUrgent == 0 {
		return 0
	}
	return min(float64(moreUrgent)/float64(len(list)-1), 1)
}

// priorities returns the different priorities of requests for a service, the most urgent one first.
func priorities(c *catalog.Config, service string) []int {
	organisations := c.Organisations
	if len(organisations) == 0 {
		organisations = []*catalog.Organisation{nil}
	}
	var list []int
	for _, r := range c.RoutesOf(service) {
		for _, o := range organisations {
			if r.Public {
				o = nil
			}
			list = append(list, priorityOf(r, o))
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}
