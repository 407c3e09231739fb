package streamorigin

// Binding says which endpoints a stream may go on at.
type Binding struct {
	Bound    bool   // The caller has an event of the stream.
	Software string // Version that the stream is bound to; "" if it is not known, so that no endpoint may go on.
}

// BindTo returns the Binding to a version, or to no endpoint at all if software is "".
func BindTo(software string) Binding { return Binding{Bound: true, Software: software} }

// Permits reports whether the stream may begin or go on at an endpoint of a version.
func (b Binding) Permits(software string) bool {
	return !b.Bound || software != "" && software == b.Software
}

// Lookup collects what the holders of a record responded.
type Lookup struct {
	Asked    int // Holders that were asked.
	Answered int // Holders that responded.
	Origin   Origin
	Conflict bool // A holder has two origins, or two holders have different ones.
}

// Add adds the response of a holder.
func (l *Lookup) Add(origin Origin, result Result) {
	l.Answered++
	switch {
	case result == ResultConflict || result == ResultFound && l.Found() && l.Origin != origin:
		l.Conflict = true
	case result == ResultFound:
		l.Origin = origin
	}
}

// Found reports whether a holder has the record.
func (l *Lookup) Found() bool { return l.Origin != Origin{} }

// Verdict is what becomes of a stream that a caller takes up again.
type Verdict int

// Values of Verdict.
const (
	VerdictGoOn    Verdict = iota // At the returned origin.
	VerdictRefuse                 // The origin cannot be found out.
	VerdictUnclear                // Too few holders responded: the caller may come back.
)

// minAnswered is how many holders must know of no record before the stream may go on at the sole origin.
const minAnswered = 2

// Resolve decides what becomes of a stream that a caller takes up again. sole is the only origin that was
// possible for as long as the stream can have lasted; its version is "" if there were several.
func Resolve(l Lookup, sole Origin) (Origin, Verdict) {
	switch {
	case l.Conflict:
		return Origin{}, VerdictRefuse
	case l.Found():
		return l.Origin, VerdictGoOn
	case l.Answered < min(minAnswered, l.Asked):
		return Origin{}, VerdictUnclear
	case sole.Software != "":
		return sole, VerdictGoOn
	default:
		return Origin{}, VerdictRefuse
	}
}
