package endpoints

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// metrics are the results of one simulation. A completion is a request for an
// adapter.
type metrics struct {
	stallShare                    float64       // Share of completions that waited for a load.
	meanStall                     time.Duration // From the arrival to the start of the run, of these completions.
	stallSecondsPer100Completions float64       // Stall time in seconds per 100 completions.
	tokensPerStep                 float64       // Of the engines' busy steps.
	tokensPerBusySecond           float64       // Of the engines.
	worstServedRatio              float64       // Lowest ratio of served to entitled tokens of an organisation.
	wrongfulRefusalShare          float64       // Refused share of the completions within rate and burst.
	othersRefusedShare            float64       // Refused share of the completions of organisations other than the flooder.
	refusedShare                  float64       // Refused share of all completions.
	firstTokenP95                 time.Duration // Time to the first token, 95th percentile.
	plainFirstTokenP95            time.Duration // The same for the plain service.
	loadsPerSecond                float64
}

func (m metrics) add(o metrics) metrics {
	return metrics{
		stallShare: m.stallShare + o.stallShare, meanStall: m.meanStall + o.meanStall,
		stallSecondsPer100Completions: m.stallSecondsPer100Completions + o.stallSecondsPer100Completions,
		tokensPerStep:                 m.tokensPerStep + o.tokensPerStep,
		tokensPerBusySecond:           m.tokensPerBusySecond + o.tokensPerBusySecond,
		worstServedRatio:              m.worstServedRatio + o.worstServedRatio,
		wrongfulRefusalShare:          m.wrongfulRefusalShare + o.wrongfulRefusalShare,
		othersRefusedShare:            m.othersRefusedShare + o.othersRefusedShare, refusedShare: m.refusedShare + o.refusedShare,
		firstTokenP95: m.firstTokenP95 + o.firstTokenP95, plainFirstTokenP95: m.plainFirstTokenP95 + o.plainFirstTokenP95,
		loadsPerSecond: m.loadsPerSecond + o.loadsPerSecond,
	}
}

// divide returns the average of n results whose sum is m.
func (m metrics) divide(n int) metrics {
	f, d := float64(n), time.Duration(n)
	return metrics{
		stallShare: m.stallShare / f, meanStall: m.meanStall / d, stallSecondsPer100Completions: m.stallSecondsPer100Completions / f,
		tokensPerStep: m.tokensPerStep / f, tokensPerBusySecond: m.tokensPerBusySecond / f, worstServedRatio: m.worstServedRatio / f,
		wrongfulRefusalShare: m.wrongfulRefusalShare / f,
		othersRefusedShare:   m.othersRefusedShare / f, refusedShare: m.refusedShare / f,
		firstTokenP95: m.firstTokenP95 / d, plainFirstTokenP95: m.plainFirstTokenP95 / d, loadsPerSecond: m.loadsPerSecond / f,
	}
}

const (
	histogramLow    = 1 // Microseconds.
	histogramHigh   = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
	percentile      = 95
)

// measure computes the metrics of a finished simulation. It leaves out requests
// that arrived during the warm-up.
func measure(d deployment, s scenario, sim *simulation, requests []*request) metrics {
	var m metrics
	firstToken := hdrhistogram.New(histogramLow, histogramHigh, histogramDigits)
	plainFirstToken := hdrhistogram.New(histogramLow, histogramHigh, histogramDigits)
	var completions, stalled, entitled, wrongful, refused, fromOthers, othersRefused int
	var stallTime time.Duration
	for _, q := range requests {
		if q.arrival < s.warmUp {
			continue
		}
		if q.promptTokens == 0 {
			record(plainFirstToken, q)
			continue
		}
		completions++
		record(firstToken, q)
		entitled += boolToInt(q.entitled)
		wrongful += boolToInt(q.entitled && q.refused)
		refused += boolToInt(q.refused)
		fromOthers += boolToInt(q.orgIndex != flooder)
		othersRefused += boolToInt(q.orgIndex != flooder && q.refused)
		if q.stalled {
			stalled++
			stallTime += q.stallTime
		}
	}
	m.stallShare = ratio(stalled, completions)
	if stalled > 0 {
		m.meanStall = stallTime / time.Duration(stalled)
	}
	m.stallSecondsPer100Completions = 100 * stallTime.Seconds() / float64(max(completions, 1))
	m.wrongfulRefusalShare = ratio(wrongful, entitled)
	m.refusedShare = ratio(refused, completions)
	m.othersRefusedShare = ratio(othersRefused, fromOthers)
	m.firstTokenP95 = time.Duration(firstToken.ValueAtPercentile(percentile)) * time.Microsecond
	m.plainFirstTokenP95 = time.Duration(plainFirstToken.ValueAtPercentile(percentile)) * time.Microsecond
	m.worstServedRatio = worstServed(d, s, requests)
	m.loadsPerSecond = float64(sim.loadsStarted) / s.duration.Seconds()
	m.tokensPerStep, m.tokensPerBusySecond = sim.efficiency()
	return m
}

// record adds the time to the first token of a request, if it has one.
func record(h *hdrhistogram.Histogram, q *request) {
	if q.firstToken > 0 {
		_ = h.RecordValue(int64((q.firstToken - q.arrival) / time.Microsecond))
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// ratio returns part/whole, or 0 if whole is 0.
func ratio(part, whole int) float64 {
	return float64(part) / float64(max(whole, 1))
}

// efficiency returns the generated tokens per busy step and per busy second of all
// engines.
func (sim *simulation) efficiency() (tokensPerStep, tokensPerBusySecond float64) {
	var tokens, busySteps int64
	var busyTime time.Duration
	for _, a := range sim.engines {
		tokens += a.engine.tokens
		busySteps += a.engine.busySteps
		busyTime += a.engine.busyTime
	}
	return float64(tokens) / float64(busySteps), float64(tokens) / busyTime.Seconds()
}

// worstServed returns the lowest ratio of served to entitled tokens of an
// organisation, at most 1. The entitlements divide the tokens served to all
// organisations.
func worstServed(d deployment, s scenario, requests []*request) float64 {
	demand := make([]float64, len(d.rateShares))
	served := make([]float64, len(d.rateShares))
	total := 0.0
	for _, q := range requests {
		if q.arrival < s.warmUp || q.promptTokens == 0 {
			continue
		}
		demand[q.orgIndex] += float64(q.tokens())
		if q.done {
			served[q.orgIndex] += float64(q.tokens())
			total += float64(q.tokens())
		}
	}
	lowest := 1.0
	for org, tokens := range entitlements(total, demand, d.weights) {
		if tokens > 0 {
			lowest = min(lowest, served[org]/tokens)
		}
	}
	return lowest
}

// entitlements divides a total among organisations by weight. No organisation gets
// more than its demand; the rest of its share is divided among the others.
func entitlements(total float64, demand []float64, weights []int) []float64 {
	out := make([]float64, len(demand))
	unsatisfied := make(map[int]bool)
	for i := range demand {
		unsatisfied[i] = true
	}
	for len(unsatisfied) > 0 {
		totalWeight := 0
		for i := range unsatisfied {
			totalWeight += weights[i]
		}
		satisfied := -1
		for i := range demand {
			if unsatisfied[i] && demand[i] <= total*float64(weights[i])/float64(totalWeight) {
				satisfied = i
				break
			}
		}
		if satisfied < 0 {
			for i := range unsatisfied {
				out[i] = total * float64(weights[i]) / float64(totalWeight)
			}
			return out
		}
		out[satisfied] = demand[satisfied]
		total -= demand[satisfied]
		delete(unsatisfied, satisfied)
	}
	return out
}
