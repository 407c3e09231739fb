package freshness

import (
	"testing"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

var (
	start  = time.Unix(1_000_000, 0)
	listed = []ident.VM{"a", "b", "c", "d", "e"}
)

func at(d time.Duration) time.Time { return start.Add(d) }

func TestConfirmationExpires(t *testing.T) {
	s := NewState("a")
	s.Install(7)
	s.RecordConfirmation(start, 7)
	if v := s.Evaluate(at(ConfirmationValidity), listed); !v.Fresh || v.Reason != ReasonConfirmed {
		t.Errorf("Evaluate() at the end of ConfirmationValidity = %+v, want it fresh by confirmation", v)
	}
	if v := s.Evaluate(at(ConfirmationValidity+1), listed); v.Fresh || v.Reason != ReasonNoContact {
		t.Errorf("Evaluate() after ConfirmationValidity = %+v, want it stale without contact", v)
	}
}

func TestConfirmationOfHigherRevisionCountsOnlyWhenInForce(t *testing.T) {
	s := NewState("a")
	s.Install(7)
	s.RecordConfirmation(start, 8)
	if s.Evaluate(start, listed).Fresh {
		t.Error("Evaluate() is fresh by the confirmation of revision 8 while 7 is in force, want stale")
	}
	s.Install(8)
	if !s.Evaluate(start, listed).Fresh {
		t.Error("Evaluate() is stale with the confirmed revision 8 in force, want fresh")
	}
}

// TestMajorityMustBeRecentWithoutHigherRevision guards against trusting a
// withdrawn key: a majority counts only if its contacts are recent and no
// higher revision was reported in that time.
func TestMajorityMustBeRecentWithoutHigherRevision(t *testing.T) {
	s := NewState("a")
	s.Install(7)
	s.RecordContact(start, "b")
	if s.Evaluate(start, listed).Fresh {
		t.Error("Evaluate() is fresh with two of five entries in contact, want stale")
	}
	s.RecordContact(start, "c")
	if v := s.Evaluate(start, listed); !v.Fresh || v.Reason != ReasonMajority {
		t.Errorf("Evaluate() with three of five entries in contact = %+v, want it fresh by majority", v)
	}
	s.RecordRevision(start, 9)
	s.RecordRevision(at(time.Second), 8)
	if v := s.Evaluate(at(time.Second), listed); v.Fresh || v.Reason != ReasonBehind {
		t.Errorf("Evaluate() with revision 9 in force elsewhere = %+v, want it stale and behind", v)
	}
	// The report of revision 9 has expired by now. The report of revision 8 has
	// not, and the contacts with b and c may have been relayed by its sender.
	s.RecordContact(at(ContactValidity), "b")
	s.RecordContact(at(ContactValidity), "c")
	if s.Evaluate(at(ContactValidity+time.Second/2), listed).Fresh {
		t.Error("Evaluate() is fresh although a higher revision was reported within ContactValidity, want stale")
	}
	if !s.Evaluate(at(ContactValidity+time.Second+1), listed).Fresh {
		t.Error("Evaluate() is stale although all reports of higher revisions have expired, want fresh")
	}
}

// TestMergedAgesAreNeverYounger guards against contacts that look more recent
// after they were relayed to another entry.
func TestMergedAgesAreNeverYounger(t *testing.T) {
	sender := NewState("b")
	sender.RecordContact(start, "c")
	sentAt := at(1234567 * time.Microsecond)
	receiver := NewState("a")
	receiver.MergeContactAges(sentAt, listed, sender.ContactAges(sentAt, listed))
	if contact := receiver.contacts["c"]; contact.After(start) || start.Sub(contact) > contactAgeUnit {
		t.Errorf("merged contact with c is %s after the original one, want at most contactAgeUnit before it", contact.Sub(start))
	}
	if receiver.contacts["d"] != (time.Time{}) {
		t.Error("MergeContactAges() recorded a contact with d, which the sender never had")
	}
	receiver.MergeContactAges(sentAt, listed, []byte{0})
	if receiver.contacts["e"] != (time.Time{}) {
		t.Error("MergeContactAges() accepted 1 age for a list of 5 entries, want them ignored")
	}
}
