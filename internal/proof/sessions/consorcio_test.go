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
	floodCalls           = 100
	floodInterval        = 20 * time.Millisecond
	tokensPerFloodCall   = 40
	planBurstTokens      = 500
	floodTokensPerSecond = 50
)

// TestConsorcioTranscript covers the Consorcio deployment, three organisations
// that share one fleet: the loss of an entry, a flood from one organisation and
// an endpoint that leaves.
func TestConsorcioTranscript(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSession(t, harness.Options{
			Entries: 2, Engines: 2, Slots: 2, Capacity: 4, Services: []ident.Service{"works"}, Handler: newNumberingService(),
		})
		t.Cleanup(s.fleet.Stop)
		consorcioFirstRequests(s)
		consorcioEntryLoss(s)
		consorcioFlood(s)
		consorcioEndpointLeaves(s)
		s.startPart("the day in figures")
		s.recordTotals()
		s.compareWithGolden(t, "consorcio")
	})
}

func consorcioFirstRequests(s *session) {
	s.startPart("morning: three contractors, one fleet")
	s.fleet.ReplaceList(s.t.Context(), "entry-1", config.ListAllowances, consorcioAllowances)
	s.fleet.ReplaceList(s.t.Context(), "entry-1", config.ListPlans, consorcioPlans)
	for _, org := range []ident.Organisation{"acueducto", "cuenca", "rimac"} {
		s.keys[string(org)] = s.fleet.GrantKey(s.t.Context(), "entry-1", org)
	}
	s.writeLine("operator      applies allowances and plans, grants a key to each contractor")
	s.startPart("crews send acoustic logs, a dispatcher routes vans")
	s.sendAndRecord(newCompletion("crew", "acueducto", "leak-brief", "log-1", "sends an acoustic log, gets a survey summary", 20, false))
	s.sendAndRecord(newCompletion("crew", "cuenca", "leak-brief", "log-2", "sends a pipe history, gets a repair brief (stream)", 20, true))
	s.sendAndRecord(newCompletion("dispatcher", "rimac", "dispatch", "van-1", "asks which van is near", 5, false).via("entry-2"))
}

func consorcioEntryLoss(s *session) {
	s.startPart("permits and work orders")
	s.sendAndRecord(newPost("crew", "acueducto", "works", "/permits", "permit-1", "books an excavation permit", "permit-key-1"))
	s.sendAndRecord(newPost("crew", "acueducto", "works", "/work-orders/close", "order-1", "closes a work order", "order-key-1"))
	s.sendAndRecord(newGet("crew", "cuenca", "works", "/valve-maps/av-grau", "map-1", "pulls up a valve map"))
	s.startPart("the entry is lost while a permit is booked; the crew sends it again at the other")
	hold := s.fleet.HoldRuns("permit-2", harness.HoldOnArrival)
	waitForFirst := s.sendAsync(newPost("crew", "cuenca", "works", "/permits", "permit-2", "books an excavation permit", "permit-key-2"))
	s.waitForHold(hold)
	s.fleet.Kill("entry-1")
	waitForFirst()
	waitForSecond := s.sendAsync(newPost("crew", "cuenca", "works", "/permits", "permit-2", "sends it again", "permit-key-2").via("entry-2"))
	time.Sleep(time.Second)
	hold.Release()
	waitForSecond()
	s.fleet.Replace("entry-1")
	time.Sleep(settleTime)
	s.sendAndRecord(newGet("crew", "cuenca", "works", "/valve-maps/av-grau", "map-2", "pulls up a valve map at the new entry"))
}

// consorcioFlood sends requests of one organisation at many times its rate while
// the other organisations send theirs.
func consorcioFlood(s *session) {
	s.startPart("midday: rimac floods both entries")
	start := time.Now()
	answered, refused := s.flood("rimac")
	ran := len(s.fleet.Runs(floodMarker))
	allowed := planBurstTokens + int(time.Since(start).Seconds()*floodTokensPerSecond)
	s.writeLine("rimac         sends %d requests of %d tokens in %s: all answered or refused as over the rate, ran no: %t; within rate and burst: %t; what was answered ran: %t",
		floodCalls, tokensPerFloodCall, floodCalls*floodInterval, answered+refused == floodCalls,
		ran*tokensPerFloodCall <= allowed, answered == ran)
}

// flood sends floodCalls requests for an organisation through both entries. It
// returns how many were answered completely and how many were refused as
// rate_limited without a run.
func (s *session) flood(org string) (answered, refused int) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for i := range floodCalls {
		r := newCompletion("crew", org, "dispatch", fmt.Sprintf("%s%d.", floodMarker, i), "floods", tokensPerFloodCall, false).
			via(fmt.Sprintf("entry-%d", i%2+1))
		group.Go(func() {
			time.Sleep(time.Duration(i) * floodInterval)
			resp := s.send(r)
			mu.Lock()
			defer mu.Unlock()
			if resp.IsComplete() {
				answered++
			}
			if resp.RanHeader() == "no" && resp.ErrorCode() == "rate_limited" {
				refused++
			}
		})
	}
	time.Sleep(floodCalls * floodInterval / 2)
	s.sendAndRecord(newCompletion("crew", "acueducto", "leak-brief", "mid-1", "sends an acoustic log in the midst of it", 20, false))
	s.sendAndRecord(newCompletion("dispatcher", "cuenca", "dispatch", "mid-2", "asks which van is near in the midst of it", 5, false).via("entry-2"))
	group.Wait()
	return answered, refused
}

func consorcioEndpointLeaves(s *session) {
	s.startPart("evening: an agent is stopped while it serves a valve map, and an endpoint leaves")
	hold := s.fleet.HoldRuns("map-3", harness.HoldOnArrival)
	waitForResponse := s.sendAsync(
		newGet("crew", "acueducto", "works", "/valve-maps/jr-junin", "map-3", "pulls up a valve map over a gushing main"))
	s.waitForHold(hold)
	for _, vm := range s.fleet.VMNames("works-") {
		s.fleet.MarkLeaving(vm)
		break
	}
	time.Sleep(settleTime)
	hold.Release()
	waitForResponse()
	s.sendAndRecord(newGet("crew", "acueducto", "works", "/valve-maps/jr-junin", "map-4", "pulls it up again"))
	s.recordTimeline("the valve map that waited", "map-3")
}
