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

func TestKowalnia(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDay(t, harness.Options{
			Entries: 2, Engines: 3, Slots: 2, Capacity: 4, Services: []ident.Service{"booking"}, Handler: paperwork(),
		})
		t.Cleanup(d.f.Stop)
		kowalniaMorning(d)
		kowalniaEvening(d)
		kowalniaOutage(d)
		kowalniaNight(d)
		d.part("the day in figures")
		d.totals()
		d.check(t, "kowalnia")
	})
}

func kowalniaMorning(d *day) {
	d.part("morning: the operator sets the plans up")
	d.f.ReplaceList(d.t.Context(), "entry-1", config.ListAllowances, kowalniaAllowances)
	d.f.ReplaceList(d.t.Context(), "entry-1", config.ListPlans, kowalniaPlans)
	d.keys["forge"] = d.f.GrantKey(d.t.Context(), "entry-1", "zarzecze")
	d.keys["student"] = d.f.GrantKey(d.t.Context(), "entry-1", "wisla")
	d.keys["master"] = d.f.GrantKey(d.t.Context(), "entry-1", "wisla")
	d.add("operator      applies allowances and plans, grants three keys")
	d.part("day: smiths call between heats")
	d.do(completion("smith", "forge", "summary", "heat-1", "asks for a summary of a commission", 10, false))
	d.do(completion("smith", "forge", "syllabus", "heat-2", "asks for the school's adapter", 10, false))
	d.do(get("passer-by", "", "booking", "/hours", "hours-1", "looks up the opening hours without a key"))
	d.do(get("passer-by", "", "booking", "/anvils", "anvils-0", "looks up free anvils without a key"))
}

func kowalniaEvening(d *day) {
	d.part("late evening: students book, ask and pay")
	d.do(get("student", "student", "booking", "/anvils", "anvils-1", "looks up free anvils"))
	d.do(post("student", "student", "booking", "/bookings", "booking-1", "books an anvil day", "booking-key-1"))
	d.do(completion("student", "student", "safety", "safety-1", "asks about safety rules (stream)", 20, true).at("entry-2"))
	d.part("a deposit is sent twice, at both entries")
	d.do(post("student", "student", "booking", "/deposits", "deposit-1", "pays a deposit", "deposit-key-1"))
	d.do(post("student", "student", "booking", "/deposits", "deposit-1", "presses the button again", "deposit-key-1").at("entry-2"))
	d.do(post("student", "student", "booking", "/deposits", "deposit-x", "uses the same key for another deposit", "deposit-key-1"))
	d.part("a deposit's connection breaks after the service ran it")
	hold := d.f.HoldRuns("deposit-2", harness.HoldMidResponse)
	first := d.begin(post("student", "student", "booking", "/deposits", "deposit-2", "pays a deposit", "deposit-key-2"))
	d.held(hold)
	for _, vm := range d.f.VMNames("booking-") {
		d.f.Endpoints[vm].Host.ResetConnections()
	}
	hold.Release()
	first()
	d.do(post("student", "student", "booking", "/deposits", "deposit-2", "sends it again", "deposit-key-2").at("entry-2"))
}

func kowalniaOutage(d *day) {
	d.part("the configuration store is down for two minutes")
	d.f.Store.SetFault(store.FaultDown)
	time.Sleep(20 * time.Second)
	d.do(completion("student", "student", "syllabus", "outage-1", "asks about the syllabus", 10, false))
	d.do(get("student", "student", "booking", "/anvils", "outage-2", "looks up free anvils"))
	d.do(post("student", "student", "booking", "/deposits", "outage-3", "pays a deposit", "deposit-key-3"))
	a := d.f.CallOperators(d.t.Context(), "entry-1", http.MethodPost, "/keys/wisla", "", 0)
	d.operator("grants a key", a)
	time.Sleep(100 * time.Second)
	d.f.Store.SetFault(store.FaultNone)
	d.part("the store is back")
	d.do(post("student", "student", "booking", "/deposits", "outage-3", "pays the deposit again", "deposit-key-3"))
}

func kowalniaNight(d *day) {
	d.part("night: a new version of the syllabus, while an answer streams")
	hold := d.f.HoldRuns("night-1", harness.HoldMidResponse)
	old := d.begin(completion("student", "student", "syllabus", "night-1", "reads a long answer (stream)", 20, true))
	d.held(hold)
	text := strings.Replace(kowalniaAllowances, "{name: syllabus, version: v1", "{name: syllabus, version: v2", 1)
	d.f.ReplaceList(d.t.Context(), "entry-2", config.ListAllowances, text)
	d.add("operator      sets the syllabus to v2")
	time.Sleep(settleTime)
	d.do(completion("student", "student", "syllabus", "night-2", "asks again", 10, false))
	d.do(completion("student", "student", "syllabus", "night-3", "asks again", 10, false).at("entry-2"))
	hold.Release()
	old()
	d.part("an engine restarts cold")
	d.f.Endpoints["engine-1"].Restart()
	d.f.Endpoints["engine-2"].Restart()
	d.f.Endpoints["engine-3"].Restart()
	d.do(completion("master", "master", "syllabus", "cold-1", "asks for the last summary of the day", 10, false))
	d.part("a key is withdrawn in mid-stream")
	hold = d.f.HoldRuns("stream-1", harness.HoldMidResponse)
	open := d.begin(completion("student", "student", "safety", "stream-1", "reads a long answer (stream)", 20, true).at("entry-2"))
	d.held(hold)
	a := d.f.WithdrawKey(d.t.Context(), "entry-1", "wisla", d.keys["student"])
	d.operator("withdraws the student's key", a)
	open()
	hold.Release()
	time.Sleep(settleTime)
	d.do(completion("student", "student", "safety", "stream-2", "asks with the withdrawn key", 10, false))
	d.do(completion("master", "master", "safety", "stream-3", "asks with the other key", 10, false))
	time.Sleep(time.Second)
	d.story("the stream that was cut", "stream-1")
	d.story("the request with the withdrawn key", "stream-2")
}
