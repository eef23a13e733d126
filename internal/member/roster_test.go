package member_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/recorder"
)

// vmOf returns the VM with incarnation i. Its id is the last digit, so that 12 is
// a later start of vm-2.
func vmOf(i member.Incarnation) member.VM {
	return member.NewVM(member.ID(fmt.Sprintf("vm-%d", i%10)), i, fmt.Sprintf("10.0.0.%d:7", i), "kandy")
}

func vmsOf(list ...member.Incarnation) []member.VM {
	out := make([]member.VM, 0, len(list))
	for _, i := range list {
		out = append(out, vmOf(i))
	}

	return out
}

type incarnations = []member.Incarnation

// TestRecords compares which records are accepted, and why others are not, with
// the golden transcript.
func TestRecords(t *testing.T) {
	p := member.NewParticipant(vmOf(1), 0)
	var out strings.Builder
	for o, s := range []member.RecordSpec{
		{Base: -1, Epoch: 1, Members: vmsOf(1)},
		{Base: -1, Epoch: 1, Members: vmsOf(2)},
		{Base: 0, Epoch: 2, Members: vmsOf(1, 2)},
		{Base: 0, Epoch: 2, Members: vmsOf(1, 2), Proof: incarnations{1}},
		{Base: 3, Epoch: 3, Members: vmsOf(1, 2, 3), Proof: incarnations{1}},
		{Base: 3, Epoch: 3, Members: vmsOf(1, 2, 3), Proof: incarnations{1, 1}},
		{Base: 3, Epoch: 4, Members: vmsOf(1, 2, 3), Proof: incarnations{1, 2}},
		{Base: 3, Epoch: 3, Members: vmsOf(1, 2, 3, 4), Proof: incarnations{1, 2}},
		{Base: 3, Epoch: 3, Members: vmsOf(1, 2, 3), Proof: incarnations{1, 2}, Listed: incarnations{1, 3}},
		{Base: 8, Epoch: 4, Members: vmsOf(1, 12, 3), Proof: incarnations{1, 2}},
		{Base: 8, Epoch: 4, Members: vmsOf(1, 2, 12, 3), Proof: incarnations{1, 2}},
		{Base: 8, Epoch: 4, Members: vmsOf(3), Forced: true},
		{Base: 8, Epoch: 4, Members: vmsOf(2, 4), Forced: true},
		{Base: 8, Epoch: 4, Members: vmsOf(2), Forced: true},
		{Base: 13, Epoch: 5, Members: vmsOf(2), Proof: incarnations{2}},
	} {
		began, err := p.Apply(member.NewEntry(recorder.Offset(o), member.NewRecord(s)), 0)
		fmt.Fprintf(&out, "offset %d: began=%v epoch=%d members=%d self=%v", o, began, p.Epoch(), len(p.Members()), p.Member())
		if err != nil {
			fmt.Fprintf(&out, ": %v", err)
		}
		out.WriteString("\n")
	}
	goldie.New(t).Assert(t, "records", []byte(out.String()))
}

// TestRecovery compares the epoch that a VM adopts from a log whose first records
// have expired with the golden transcript.
func TestRecovery(t *testing.T) {
	entry := func(o, base recorder.Offset, epoch uint64) *member.Entry {
		return member.NewEntry(o, member.NewRecord(member.RecordSpec{
			Base:    base,
			Epoch:   epoch,
			Members: vmsOf(1, 2),
			Proof:   incarnations{1, 2},
		}))
	}
	var out strings.Builder
	for _, c := range []struct {
		name string
		kept []*member.Entry
	}{
		{name: "no record retained"},
		{name: "one record, which may not have been accepted", kept: []*member.Entry{entry(7, 3, 4)}},
		{name: "a record that is the base of a later one", kept: []*member.Entry{entry(6, 2, 3), entry(7, 3, 4), entry(8, 7, 5)}},
		{name: "the latest base, and the records that follow it", kept: []*member.Entry{
			entry(7, 3, 4), entry(8, 7, 5), entry(9, 7, 5), entry(10, 8, 6), entry(11, 10, 7), entry(12, 10, 7),
		}},
		{name: "a record whose epoch does not follow that of its base", kept: []*member.Entry{entry(7, 3, 4), entry(8, 7, 9)}},
		{name: "a fleet that was bootstrapped again", kept: []*member.Entry{entry(7, -1, 8), entry(8, -1, 8)}},
		{name: "an early record that was not accepted", kept: []*member.Entry{entry(7, -1, 1), entry(8, 3, 4)}},
	} {
		p := member.NewParticipant(vmOf(9), 0)
		found := p.Recover(c.kept, 0)
		for _, e := range c.kept {
			_, _ = p.Apply(e, 0)
		}
		fmt.Fprintf(&out, "%s: found=%v epoch=%d next=%d\n", c.name, found, p.Epoch(), p.Next())
	}
	goldie.New(t).Assert(t, "recovery", []byte(out.String()))
}
