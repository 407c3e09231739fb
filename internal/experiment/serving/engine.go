package serving

import (
	"slices"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/experiment/simclock"
	"github.com/hyssoptiller/hyssoptiller/internal/millis"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/grants"
)

const (
	// chunk is the most prompt tokens that an engine reads in one step.
	chunk = 1024
	// coldLoad is a transfer from the weight store at full speed, quickLoad a load
	// from an engine's own copies; both of the sheets.
	coldLoad  = 250 * time.Millisecond
	quickLoad = 25 * time.Millisecond
	// pairsPerMS are the pairs of tokens, in millions, that reading compares in a
	// millisecond: the longer a prompt, the slower its next piece.
	pairsPerMS = 1 / 0.737
)

// weightStore counts the transfers that are under way over all engines.
type weightStore struct {
	fullSpeed int
	underWay  int
	begun     int
}

// duration returns how long one more transfer takes. The figure is fixed at its
// beginning.
func (w *weightStore) duration() time.Duration {
	return time.Duration(float64(coldLoad) * max(1, float64(w.underWay+1)/float64(w.fullSpeed)))
}

// run is a request that runs on an engine.
type run struct {
	request *request
	unread  int
	prompt  int
	left    int // Tokens to be made.
	made    int
	events  int
	eventAt time.Duration
}

// engine is the model of one engine.
type engine struct {
	clock    *simclock.Clock
	store    *weightStore
	d        *deployment
	speed    float64
	gone     bool
	seq      int64
	born     int64
	resident map[catalog.AdapterKey]bool
	coming   map[catalog.AdapterKey]bool
	copies   []catalog.AdapterKey // Last used at the end.
	kept     keptParts
	runs     []*run
	stepping bool
	finished func(*run)
	read     int // Tokens.
	readAll  int // Tokens that it would have read without kept parts.
}

// order carries out an order.
func (e *engine) order(o grants.Order) grants.Outcome {
	if o.Sequence != e.seq {
		return grants.OutcomeConflict
	}
	e.seq++
	if o.Unload {
		delete(e.resident, o.Key)
		e.copies = append(e.copies, o.Key)
		if len(e.copies) > e.d.copies {
			e.copies = e.copies[1:]
		}
		return grants.OutcomeDone
	}
	took, quick := quickLoad, slices.Contains(e.copies, o.Key)
	if !quick {
		took = e.store.duration()
		e.store.underWay++
		e.store.begun++
	}
	e.coming[o.Key] = true
	born := e.born
	e.clock.After(took, func() {
		if !quick {
			e.store.underWay--
		}
		if e.born == born {
			delete(e.coming, o.Key)
			e.resident[o.Key] = true
		}
	})
	return grants.OutcomeAccepted
}

func (e *engine) report() grants.Report {
	r := grants.Report{Incarnation: e.born, Sequence: e.seq, Models: []string{modelName}}
	for key := range e.resident {
		r.Resident = append(r.Resident, grants.Build{Key: key, Version: 1})
	}
	for key := range e.coming {
		r.Loading = append(r.Loading, grants.Build{Key: key, Version: 1})
	}
	for _, one := range e.runs {
		if one.events > 0 {
			r.Runs = append(r.Runs, grants.Run{RequestID: one.request.id, Events: one.events})
		}
	}
	return r
}

// begin takes a request that has its turn.
func (e *engine) begin(q *request) *run {
	unread := e.kept.read(q)
	e.read += unread
	e.readAll += q.prompt
	one := &run{request: q, unread: max(unread, 1), prompt: q.prompt, left: q.output}
	e.runs = append(e.runs, one)
	if !e.stepping {
		e.step()
	}
	return one
}

// drop ends a run whose caller has left.
func (e *engine) drop(one *run) {
	e.runs = slices.DeleteFunc(e.runs, func(r *run) bool { return r == one })
}

// step begins the next step: a piece of the first unread prompt and a token of
// each run that has been read.
func (e *engine) step() {
	e.stepping = len(e.runs) > 0
	if !e.stepping {
		return
	}
	ms := millis.FromDuration(e.d.step) + millis.FromDuration(e.d.perSlot)*float64(len(e.runs))
	var reads *run
	for _, one := range e.runs {
		if one.unread > 0 {
			reads = one
			break
		}
	}
	piece := 0
	if reads != nil {
		piece = min(reads.unread, chunk)
		before := float64(reads.prompt - reads.unread)
		ms += float64(piece)/e.d.perMS + float64(piece)*(before+float64(piece)/2)/1e6/pairsPerMS
	}
	e.clock.After(millis.Duration(ms*e.speed), func() { e.stepped(reads, piece) })
}

func (e *engine) stepped(reads *run, piece int) {
	for _, one := range slices.Clone(e.runs) {
		if one.unread == 0 {
			e.token(one)
		}
	}
	if reads != nil && reads.unread > 0 {
		reads.unread -= piece
		if reads.unread == 0 && slices.Contains(e.runs, reads) {
			e.token(reads)
		}
	}
	e.step()
}

// token makes one token of a run, and an event of each stride of them.
func (e *engine) token(one *run) {
	one.made++
	one.left--
	if one.made%e.d.stride == 1 || one.left == 0 {
		one.events++
		one.request.event(e.clock.Now(), one)
	}
	if one.left <= 0 {
		e.drop(one)
		e.finished(one)
	}
}

// crash loses all that the engine holds.
func (e *engine) crash() []*run {
	lost := e.runs
	e.runs, e.copies, e.gone = nil, nil, true
	e.resident, e.coming = make(map[catalog.AdapterKey]bool), make(map[catalog.AdapterKey]bool)
	e.kept = keptParts{most: e.kept.most}
	e.born++
	e.seq = 0
	return lost
}

// keptParts are the shared parts that an engine has read, oldest first.
type keptParts struct {
	most  int // Tokens.
	total int
	parts []keptPart
}

type keptPart struct {
	key    catalog.AdapterKey
	part   string
	tokens int
}

// read keeps the shared part of a request and returns the tokens to be read.
func (k *keptParts) read(q *request) int {
	at := slices.IndexFunc(k.parts, func(p keptPart) bool { return p.key == q.key && p.part == q.part })
	if at >= 0 {
		kept := k.parts[at]
		k.parts = append(slices.Delete(k.parts, at, at+1), kept)
		return q.prompt - kept.tokens
	}
	k.parts = append(k.parts, keptPart{q.key, q.part, q.shared})
	k.total += q.shared
	for k.total > k.most && len(k.parts) > 1 {
		k.total -= k.parts[0].tokens
		k.parts = k.parts[1:]
	}
	return q.prompt
}
