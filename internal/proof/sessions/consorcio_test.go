package sessions

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/proof/harness"
)

const consorcioPlans = `plans:
  - {organisation: acueducto, plan: crew, weight: 1}
  - {organisation: cuenca, plan: crew, weight: 1}
  - {organisation: rimac, plan: crew, weight: 1}
`

const consorcioAllowances = `allowances:
  - plan: crew
    tokens_per_second: 50
    burst: 500
    priority: 1
    adapters:
      - {name: leak-brief, version: v3, base: base}
      - {name: dispatch, version: v1, base: base}
    services:
      - name: works
        routes:
          - {method: POST, path: /permits, idempotent: false}
          - {method: POST, path: /work-orders/close, idempotent: false}
          - {method: GET, path: /valve-maps/*, idempotent: true}
`

const (
	floodCalls  = 100
	floodEvery  = 20 * time.Millisecond
	floodTokens = 40
	floodBurst  = 500
	floodRate   = 50 // Tokens a second.
)

func TestConsorcio(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDay(t, harness.Options{
			Entries: 2, Engines: 2, Slots: 2, Capacity: 4, Services: []ident.Service{"works"}, Handler: paperwork(),
		})
		t.Cleanup(d.f.Stop)
		consorcioMorning(d)
		consorcioPermits(d)
		consorcioFlood(d)
		consorcioEvening(d)
		d.part("the day in figures")
		d.totals()
		d.check(t, "consorcio")
	})
}

func consorcioMorning(d *day) {
	d.part("morning: three contractors, one fleet")
	d.f.ReplaceList(d.t.Context(), "entry-1", config.ListAllowances, consorcioAllowances)
	d.f.ReplaceList(d.t.Context(), "entry-1", config.ListPlans, consorcioPlans)
	for _, org := range []ident.Organisation{"acueducto", "cuenca", "rimac"} {
		d.keys[string(org)] = d.f.GrantKey(d.t.Context(), "entry-1", org)
	}
	d.add("operator      applies allowances and plans, grants a key to each contractor")
	d.part("crews send acoustic logs, a dispatcher routes vans")
	d.do(completion("crew", "acueducto", "leak-brief", "log-1", "sends an acoustic log, gets a survey summary", 20, false))
	d.do(completion("crew", "cuenca", "leak-brief", "log-2", "sends a pipe history, gets a repair brief (stream)", 20, true))
	d.do(completion("dispatcher", "rimac", "dispatch", "van-1", "asks which van is near", 5, false).at("entry-2"))
}

func consorcioPermits(d *day) {
	d.part("permits and work orders")
	d.do(post("crew", "acueducto", "works", "/permits", "permit-1", "books an excavation permit", "permit-key-1"))
	d.do(post("crew", "acueducto", "works", "/work-orders/close", "order-1", "closes a work order", "order-key-1"))
	d.do(get("crew", "cuenca", "works", "/valve-maps/av-grau", "map-1", "pulls up a valve map"))
	d.part("the entry is lost while a permit is booked; the crew sends it again at the other")
	hold := d.f.HoldRuns("permit-2", harness.HoldOnArrival)
	first := d.begin(post("crew", "cuenca", "works", "/permits", "permit-2", "books an excavation permit", "permit-key-2"))
	d.held(hold)
	d.f.Kill("entry-1")
	first()
	again := d.begin(post("crew", "cuenca", "works", "/permits", "permit-2", "sends it again", "permit-key-2").at("entry-2"))
	time.Sleep(time.Second)
	hold.Release()
	again()
	d.f.Replace("entry-1")
	time.Sleep(settleTime)
	d.do(get("crew", "cuenca", "works", "/valve-maps/av-grau", "map-2", "pulls up a valve map at the new entry"))
}

// consorcioFlood has one contractor send many times its rate while the others
// work on.
func consorcioFlood(d *day) {
	d.part("midday: rimac floods both entries")
	start := time.Now()
	answered, refused := d.flood("rimac")
	ran := len(d.f.Runs(floodMarker))
	allowed := floodBurst + int(time.Since(start).Seconds()*floodRate)
	d.add("rimac         sends %d requests of %d tokens in %s: all answered or refused as over the rate, ran no: %t; within rate and burst: %t; what was answered ran: %t",
		floodCalls, floodTokens, floodCalls*floodEvery, answered+refused == floodCalls, ran*floodTokens <= allowed, answered == ran)
}

func (d *day) flood(org string) (answered, refused int) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for i := range floodCalls {
		r := completion("crew", org, "dispatch", fmt.Sprintf("%s%d.", floodMarker, i), "floods", floodTokens, false).at(fmt.Sprintf("entry-%d", i%2+1))
		group.Go(func() {
			time.Sleep(time.Duration(i) * floodEvery)
			a := d.send(r)
			mu.Lock()
			defer mu.Unlock()
			if a.IsComplete() {
				answered++
			}
			if a.RanHeader() == "no" && a.ErrorCode() == "rate_limited" {
				refused++
			}
		})
	}
	time.Sleep(floodCalls * floodEvery / 2)
	d.do(completion("crew", "acueducto", "leak-brief", "mid-1", "sends an acoustic log in the midst of it", 20, false))
	d.do(completion("dispatcher", "cuenca", "dispatch", "mid-2", "asks which van is near in the midst of it", 5, false).at("entry-2"))
	group.Wait()
	return answered, refused
}

func consorcioEvening(d *day) {
	d.part("evening: an agent is stopped while it serves a valve map, and an endpoint leaves")
	hold := d.f.HoldRuns("map-3", harness.HoldOnArrival)
	late := d.begin(get("crew", "acueducto", "works", "/valve-maps/jr-junin", "map-3", "pulls up a valve map over a gushing main"))
	d.held(hold)
	for _, vm := range d.f.VMNames("works-") {
		d.f.MarkLeaving(vm)
		break
	}
	time.Sleep(settleTime)
	hold.Release()
	late()
	d.do(get("crew", "acueducto", "works", "/valve-maps/jr-junin", "map-4", "pulls it up again"))
	d.story("the valve map that waited", "map-3")
}
