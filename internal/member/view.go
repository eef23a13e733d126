// Package member keeps the membership of the fleet: which VMs there are, and
// which of them holds a range of teams and claim keys.
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
	// peers are all members but self, ordered by id.
	peers []VM
}

// NewView returns a view. The peers must be ordered by id and without self.
func NewView(self VM, peers []VM) *View {
	return &View{
		self:  self,
		peers: append([]VM(nil), peers...),
	}
}

// Self returns this VM.
func (v *View) Self() VM { return v.self }

// Peers returns every other member; the caller must not change the slice.
func (v *View) Peers() []VM { return v.peers }

// Size returns the number of members, self included.
func (v *View) Size() int { return len(v.peers) + 1 }
