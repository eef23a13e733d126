// Package member implements the membership protocol: it numbers the epochs of
// the fleet's membership, renews this VM's lease in them, and determines which
// VM holds each range of rate slots and claim keys. docs/CORE-PROTOCOL.md
// describes the protocol.
package member

// ID identifies a VM for as long as the platform runs it, across restarts of
// its process.
type ID string

// Incarnation identifies one start of a VM's process; each start has a new one.
type Incarnation uint64

// VM identifies one start of a VM's process and its peer listener.
type VM struct {
	id          ID
	incarnation Incarnation
	// address is the IP address and port of the peer listener.
	address    string
	dataCentre string
}

// NewVM returns a VM; address is the IP address and port of its peer listener.
func NewVM(id ID, incarnation Incarnation, address, dataCentre string) VM {
	return VM{
		id:          id,
		incarnation: incarnation,
		address:     address,
		dataCentre:  dataCentre,
	}
}

// ID returns the VM's identifier, which a restart does not change.
func (v VM) ID() ID { return v.id }

// Incarnation returns the identifier of the process start.
func (v VM) Incarnation() Incarnation { return v.incarnation }

// Address returns the IP address and port of the peer listener.
func (v VM) Address() string { return v.address }

// DataCentre returns the name of the VM's data centre.
func (v VM) DataCentre() string { return v.dataCentre }

// View is an immutable snapshot of the membership.
type View struct {
	self VM
	// epoch is 0 before the first join.
	epoch uint64
	// peers are all known VMs except self, ordered by id: members, and VMs of
	// the platform's list that are not members.
	peers []VM
	// members are the members of the epoch, ordered by id.
	members []VM
	// holders maps each range to the index of its holder in members; it is
	// empty if there are no members.
	holders []int
}

// NewView returns a view of epoch 0 in which self and the peers are members.
// The peers must be ordered by id and without self.
func NewView(self VM, peers []VM) *View {
	members := sortedByID(append([]VM{self}, peers...))

	return buildView(self, newRoster(0, noOffset, members), peers, nil)
}

// buildView returns the view of a roster. A range whose first members in the
// rendezvous order are ineligible is held by the next one.
func buildView(self VM, r *Roster, peers []VM, ineligible func(Incarnation) bool) *View {
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
		v.holders[i] = firstEligible(r.order(Range(i)), r.members, ineligible)
	}

	return v
}

// firstEligible returns the first eligible member of order, or the first of all
// if none is eligible.
func firstEligible(order []int, members []VM, ineligible func(Incarnation) bool) int {
	for _, i := range order {
		if ineligible == nil || !ineligible(members[i].incarnation) {
			return i
		}
	}

	return order[0]
}

// Self returns the VM whose view this is.
func (v *View) Self() VM { return v.self }

// Epoch returns the number of the epoch, 0 before the first join.
func (v *View) Epoch() uint64 { return v.epoch }

// Peers returns every other known VM, ordered by id; the caller must not change
// the slice.
func (v *View) Peers() []VM { return v.peers }

// Members returns the members of the epoch, ordered by id; the caller must not
// change the slice. It includes self only once self has joined.
func (v *View) Members() []VM { return v.members }

// Size returns the number of known VMs, including self.
func (v *View) Size() int { return len(v.peers) + 1 }

// Holder returns the member that should hold the range: the first in the
// range's rendezvous order that is not banned and has not resigned. If there
// are no members it returns self. The result is a hint for callers; only the
// member itself knows whether it is active.
func (v *View) Holder(r Range) VM {
	if len(v.holders) == 0 {
		return v.self
	}

	return v.members[v.holders[r]]
}
