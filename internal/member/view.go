// Package member is the core protocol: it numbers the epochs of the fleet's
// membership, keeps this VM's lease in them, and tells which VM holds a range
// of teams and claim keys. docs/CORE-PROTOCOL.md describes it.
package member

// ID names a VM for as long as the platform keeps it.
type ID string

// Incarnation numbers the starts of one VM's process; each start has a new one.
type Incarnation uint64

// VM is one member.
type VM struct {
	id          ID
	incarnation Incarnation
	// address is the IP address and port of the peer listener.
	address    string
	dataCentre string
}

// NewVM returns a member.
func NewVM(id ID, incarnation Incarnation, address, dataCentre string) VM {
	return VM{
		id:          id,
		incarnation: incarnation,
		address:     address,
		dataCentre:  dataCentre,
	}
}

// ID returns the VM's name.
func (v VM) ID() ID { return v.id }

// Incarnation returns the number of the process start.
func (v VM) Incarnation() Incarnation { return v.incarnation }

// Address returns the address of the peer listener.
func (v VM) Address() string { return v.address }

// DataCentre returns the data centre.
func (v VM) DataCentre() string { return v.dataCentre }

// View is an immutable picture of the membership.
type View struct {
	self VM
	// epoch is 0 before the first join.
	epoch uint64
	// peers are all known VMs but self, ordered by id: members, and VMs of the
	// platform's list that are no members.
	peers []VM
	// members are the members of the epoch, ordered by id.
	members []VM
	// holders has the index in members of each range's holder; it is empty
	// where there are no members.
	holders []int
}

// NewView returns a view of epoch 0 in which self and the peers are members.
// The peers must be ordered by id and without self.
func NewView(self VM, peers []VM) *View {
	members := sortedByID(append([]VM{self}, peers...))

	return buildView(self, newRoster(0, noOffset, members), peers, nil)
}

// buildView returns the view of a roster. The ranges of VMs in passed are held
// by the next in order.
func buildView(self VM, r *Roster, peers []VM, passed func(Incarnation) bool) *View {
	v := &View{
		self:    self,
		epoch:   r.epoch,
		peers:   append([]VM(nil), peers...),
		members: r.members,
	}
	if len(r.members) == 0 {
		return v
	}
	v.holders = make([]int, RangeCount)
	for i := range v.holders {
		v.holders[i] = firstOf(r.order(Range(i)), r.members, passed)
	}

	return v
}

func firstOf(order []int, members []VM, passed func(Incarnation) bool) int {
	for _, i := range order {
		if passed == nil || !passed(members[i].incarnation) {
			return i
		}
	}

	return order[0]
}

// Self returns this VM.
func (v *View) Self() VM { return v.self }

// Epoch returns the number of the epoch, 0 before the first join.
func (v *View) Epoch() uint64 { return v.epoch }

// Peers returns every other VM; the caller must not change the slice.
func (v *View) Peers() []VM { return v.peers }

// Members returns the members of the epoch; the caller must not change the
// slice. Self is among them only once it has joined.
func (v *View) Members() []VM { return v.members }

// Size returns the number of known VMs, self included.
func (v *View) Size() int { return len(v.peers) + 1 }

// Holder returns the member that should hold the range: the first in the
// range's rendezvous order that is not banned and has not resigned. Where
// there are no members it is self. It is a hint for callers; only the member
// itself knows whether it is active.
func (v *View) Holder(r Range) VM {
	if len(v.holders) == 0 {
		return v.self
	}

	return v.members[v.holders[r]]
}
