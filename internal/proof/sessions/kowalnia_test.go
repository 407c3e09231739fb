package sessions

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/clients/store"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/proof/harness"
)

const kowalniaPlans = `plans:
  - organisation: zarzecze
    plan: smithy
    weight: 1
  - organisation: wisla
    plan: school
    weight: 2
`

const kowalniaAllowances = `allowances:
  - plan: smithy
    tokens_per_second: 100
    burst: 1000
    priority: 1
    adapters:
      - {name: summary, version: v1, base: base}
    services:
      - name: booking
        routes:
          - {method: GET, path: /hours, idempotent: true, open: true}
          - {method: GET, path: /anvils, idempotent: true}
  - plan: school
    tokens_per_second: 100
    burst: 1000
    priority: 1
    adapters:
      - {name: syllabus, version: v1, base: base}
      - {name: safety, version: v1, base: base}
    services:
      - name: booking
        routes:
          - {method: GET, path: /anvils, idempotent: true}
          - {method: POST, path: /bookings, idempotent: false}
          - {method: POST, path: /deposits, idempotent: false}
`

// TestKowalniaTranscript covers the Kowalnia deployment, two organisations with
// a booking service: idempotency keys, a store outage, a new adapter version,
// cold engine restarts and a withdrawn key.
func TestKowalniaTranscript(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSession(t, harness.Options{
			Entries: 2, Engines: 3, Slots: 2, Capacity: 4, Services: []ident.Service{"booking"}, Handler: newNumberingService(),
		})
		t.Cleanup(s.fleet.Stop)
		kowalniaFirstRequests(s)
		kowalniaIdempotencyKeys(s)
		kowalniaStoreOutage(s)
		kowalniaChangesDuringStreams(s)
		s.startPart("the day in figures")
		s.recordTotals()
		s.compareWithGolden(t, "kowalnia")
	})
}

func kowalniaFirstRequests(s *session) {
	s.startPart("morning: the operator sets the plans up")
	s.fleet.ReplaceList(s.t.Context(), "entry-1", config.ListAllowances, kowalniaAllowances)
	s.fleet.ReplaceList(s.t.Context(), "entry-1", config.ListPlans, kowalniaPlans)
	s.keys["forge"] = s.fleet.GrantKey(s.t.Context(), "entry-1", "zarzecze")
	s.keys["student"] = s.fleet.GrantKey(s.t.Context(), "entry-1", "wisla")
	s.keys["master"] = s.fleet.GrantKey(s.t.Context(), "entry-1", "wisla")
	s.writeLine("operator      applies allowances and plans, grants three keys")
	s.startPart("day: smiths call between heats")
	s.sendAndRecord(newCompletion("smith", "forge", "summary", "heat-1", "asks for a summary of a commission", 10, false))
	s.sendAndRecord(newCompletion("smith", "forge", "syllabus", "heat-2", "asks for the school's adapter", 10, false))
	s.sendAndRecord(newGet("passer-by", "", "booking", "/hours", "hours-1", "looks up the opening hours without a key"))
	s.sendAndRecord(newGet("passer-by", "", "booking", "/anvils", "anvils-0", "looks up free anvils without a key"))
}

func kowalniaIdempotencyKeys(s *session) {
	s.startPart("late evening: students book, ask and pay")
	s.sendAndRecord(newGet("student", "student", "booking", "/anvils", "anvils-1", "looks up free anvils"))
	s.sendAndRecord(newPost("student", "student", "booking", "/bookings", "booking-1", "books an anvil day", "booking-key-1"))
	s.sendAndRecord(newCompletion("student", "student", "safety", "safety-1", "asks about safety rules (stream)", 20, true).via("entry-2"))
	s.startPart("a deposit is sent twice, at both entries")
	s.sendAndRecord(newPost("student", "student", "booking", "/deposits", "deposit-1", "pays a deposit", "deposit-key-1"))
	s.sendAndRecord(newPost("student", "student", "booking", "/deposits", "deposit-1", "presses the button again", "deposit-key-1").
		via("entry-2"))
	s.sendAndRecord(newPost("student", "student", "booking", "/deposits", "deposit-x", "uses the same key for another deposit",
		"deposit-key-1"))
	s.startPart("a deposit's connection breaks after the service ran it")
	hold := s.fleet.HoldRuns("deposit-2", harness.HoldMidResponse)
	waitForFirst := s.sendAsync(newPost("student", "student", "booking", "/deposits", "deposit-2", "pays a deposit", "deposit-key-2"))
	s.waitForHold(hold)
	for _, vm := range s.fleet.VMNames("booking-") {
		s.fleet.Endpoints[vm].Host.ResetConnections()
	}
	hold.Release()
	waitForFirst()
	s.sendAndRecord(newPost("student", "student", "booking", "/deposits", "deposit-2", "sends it again", "deposit-key-2").via("entry-2"))
}

func kowalniaStoreOutage(s *session) {
	s.startPart("the configuration store is down for two minutes")
	s.fleet.Store.SetFault(store.FaultDown)
	time.Sleep(20 * time.Second)
	s.sendAndRecord(newCompletion("student", "student", "syllabus", "outage-1", "asks about the syllabus", 10, false))
	s.sendAndRecord(newGet("student", "student", "booking", "/anvils", "outage-2", "looks up free anvils"))
	s.sendAndRecord(newPost("student", "student", "booking", "/deposits", "outage-3", "pays a deposit", "deposit-key-3"))
	resp := s.fleet.CallOperators(s.t.Context(), "entry-1", http.MethodPost, "/keys/wisla", "", 0)
	s.recordOperator("grants a key", resp)
	time.Sleep(100 * time.Second)
	s.fleet.Store.SetFault(store.FaultNone)
	s.startPart("the store is back")
	s.sendAndRecord(newPost("student", "student", "booking", "/deposits", "outage-3", "pays the deposit again", "deposit-key-3"))
}

func kowalniaChangesDuringStreams(s *session) {
	s.startPart("night: a new version of the syllabus, while an answer streams")
	hold := s.fleet.HoldRuns("night-1", harness.HoldMidResponse)
	waitForOldVersion := s.sendAsync(newCompletion("student", "student", "syllabus", "night-1", "reads a long answer (stream)", 20, true))
	s.waitForHold(hold)
	text := strings.Replace(kowalniaAllowances, "{name: syllabus, version: v1", "{name: syllabus, version: v2", 1)
	s.fleet.ReplaceList(s.t.Context(), "entry-2", config.ListAllowances, text)
	s.writeLine("operator      sets the syllabus to v2")
	time.Sleep(settleTime)
	s.sendAndRecord(newCompletion("student", "student", "syllabus", "night-2", "asks again", 10, false))
	s.sendAndRecord(newCompletion("student", "student", "syllabus", "night-3", "asks again", 10, false).via("entry-2"))
	hold.Release()
	waitForOldVersion()
	s.startPart("an engine restarts cold")
	s.fleet.Endpoints["engine-1"].Restart()
	s.fleet.Endpoints["engine-2"].Restart()
	s.fleet.Endpoints["engine-3"].Restart()
	s.sendAndRecord(newCompletion("master", "master", "syllabus", "cold-1", "asks for the last summary of the day", 10, false))
	s.startPart("a key is withdrawn in mid-stream")
	hold = s.fleet.HoldRuns("stream-1", harness.HoldMidResponse)
	waitForStream := s.sendAsync(newCompletion("student", "student", "safety", "stream-1", "reads a long answer (stream)", 20, true).via("entry-2"))
	s.waitForHold(hold)
	resp := s.fleet.WithdrawKey(s.t.Context(), "entry-1", "wisla", s.keys["student"])
	s.recordOperator("withdraws the student's key", resp)
	waitForStream()
	hold.Release()
	time.Sleep(settleTime)
	s.sendAndRecord(newCompletion("student", "student", "safety", "stream-2", "asks with the withdrawn key", 10, false))
	s.sendAndRecord(newCompletion("master", "master", "safety", "stream-3", "asks with the other key", 10, false))
	time.Sleep(time.Second)
	s.recordTimeline("the stream that was cut", "stream-1")
	s.recordTimeline("the request with the withdrawn key", "stream-2")
}
