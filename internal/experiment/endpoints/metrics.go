package endpoints

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// measures are the figures of one run.
type measures struct {
	stallShare  float64       // Share of completions that waited for a load.
	stallMean   time.Duration // From arrival to turn, of those.
	stallTotal  float64       // Stalled seconds in a hundred completions.
	perStep     float64       // Tokens in a busy step of an engine.
	perSecond   float64       // Tokens in a busy second of an engine.
	worst       float64       // Tokens served to the worst-served organisation by its entitled ones.
	wrongful    float64       // Share of the entitled completions that were refused.
	others      float64       // Share of the completions of the organisations that do not flood that were refused.
	refused     float64       // Share of all completions that were refused.
	firstToken  time.Duration // 95 in 100.
	plainAnswer time.Duration // First token of the plain service, 95 in 100.
	loads       float64       // Loads a second.
}

func (m measures) plus(o measures) measures {
	return measures{
		stallShare: m.stallShare + o.stallShare, stallMean: m.stallMean + o.stallMean, stallTotal: m.stallTotal + o.stallTotal,
		perStep: m.perStep + o.perStep, perSecond: m.perSecond + o.perSecond, worst: m.worst + o.worst,
		wrongful: m.wrongful + o.wrongful, others: m.others + o.others, refused: m.refused + o.refused,
		firstToken: m.firstToken + o.firstToken, plainAnswer: m.plainAnswer + o.plainAnswer, loads: m.loads + o.loads,
	}
}

func (m measures) over(n int) measures {
	f, d := float64(n), time.Duration(n)
	return measures{
		stallShare: m.stallShare / f, stallMean: m.stallMean / d, stallTotal: m.stallTotal / f,
		perStep: m.perStep / f, perSecond: m.perSecond / f, worst: m.worst / f,
		wrongful: m.wrongful / f, others: m.others / f, refused: m.refused / f,
		firstToken: m.firstToken / d, plainAnswer: m.plainAnswer / d, loads: m.loads / f,
	}
}

const (
	histogramLow    = 1
	histogramHigh   = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
	percentile      = 95
)

func measure(d deployment, s scenario, r *run, requests []*request) measures {
	var m measures
	first := hdrhistogram.New(histogramLow, histogramHigh, histogramDigits)
	plain := hdrhistogram.New(histogramLow, histogramHigh, histogramDigits)
	var completions, stalled, entitled, wrongful, refused, others, othersRefused int
	var stall time.Duration
	for _, q := range requests {
		if q.at < s.warmUp {
			continue
		}
		if q.prompt == 0 {
			record(plain, q)
			continue
		}
		completions++
		record(first, q)
		entitled += count(q.entitled)
		wrongful += count(q.entitled && q.refused)
		refused += count(q.refused)
		others += count(q.org != flooder)
		othersRefused += count(q.org != flooder && q.refused)
		if q.stalled {
			stalled++
			stall += q.stall
		}
	}
	m.stallShare = ratio(stalled, completions)
	if stalled > 0 {
		m.stallMean = stall / time.Duration(stalled)
	}
	m.stallTotal = 100 * stall.Seconds() / float64(max(completions, 1))
	m.wrongful = ratio(wrongful, entitled)
	m.refused = ratio(refused, completions)
	m.others = ratio(othersRefused, others)
	m.firstToken = time.Duration(first.ValueAtPercentile(percentile)) * time.Microsecond
	m.plainAnswer = time.Duration(plain.ValueAtPercentile(percentile)) * time.Microsecond
	m.worst = worstServed(d, s, requests)
	m.loads = float64(r.loads) / s.length.Seconds()
	m.perStep, m.perSecond = r.efficiency()
	return m
}

func record(h *hdrhistogram.Histogram, q *request) {
	if q.first > 0 {
		_ = h.RecordValue(int64((q.first - q.at) / time.Microsecond))
	}
}

func count(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

func ratio(part, whole int) float64 {
	return float64(part) / float64(max(whole, 1))
}

func (r *run) efficiency() (perStep, perSecond float64) {
	var tokens, steps int64
	var busy time.Duration
	for _, a := range r.engines {
		tokens += a.engine.tokens
		steps += a.engine.steps
		busy += a.engine.busy
	}
	return float64(tokens) / float64(steps), float64(tokens) / busy.Seconds()
}

// worstServed returns the least ratio, over the organisations, of the tokens
// that one was served to those that it was entitled to: what was served to all,
// shared by weight, and nobody entitled to more than it asked for.
func worstServed(d deployment, s scenario, requests []*request) float64 {
	asked := make([]float64, len(d.shares))
	served := make([]float64, len(d.shares))
	total := 0.0
	for _, q := range requests {
		if q.at < s.warmUp || q.prompt == 0 {
			continue
		}
		asked[q.org] += float64(q.tokens())
		if q.done {
			served[q.org] += float64(q.tokens())
			total += float64(q.tokens())
		}
	}
	worst := 1.0
	for org, tokens := range entitlements(total, asked, d.weights) {
		if tokens > 0 {
			worst = min(worst, served[org]/tokens)
		}
	}
	return worst
}

// entitlements shares a total by weight; what one does not ask for goes to the
// others.
func entitlements(total float64, asked []float64, weights []int) []float64 {
	out := make([]float64, len(asked))
	open := make(map[int]bool)
	for i := range asked {
		open[i] = true
	}
	for len(open) > 0 {
		sum := 0
		for i := range open {
			sum += weights[i]
		}
		satisfied := -1
		for i := range asked {
			if open[i] && asked[i] <= total*float64(weights[i])/float64(sum) {
				satisfied = i
				break
			}
		}
		if satisfied < 0 {
			for i := range open {
				out[i] = total * float64(weights[i]) / float64(sum)
			}
			return out
		}
		out[satisfied] = asked[satisfied]
		total -= asked[satisfied]
		delete(open, satisfied)
	}
	return out
}
