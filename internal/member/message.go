package member

// Ping asks a VM to acknowledge the sender in an epoch.
type Ping struct {
	from  VM
	epoch uint64
	// leased is set if the sender's lease was valid when the ping was sent.
	leased bool
	// resigned is set once the sender has given up all ranges permanently.
	resigned bool
	// suspects are the members that the sender asks the receiver to ban in the
	// epoch.
	suspects []Incarnation
	// banned are the members that a majority of the epoch's members has promised
	// to ban.
	banned []Incarnation
	// entry began the sender's epoch; nil if the receiver is known to have it.
	entry *Entry
}

// PingSpec lists the fields of a ping.
type PingSpec struct {
	From     VM
	Epoch    uint64
	Leased   bool
	Resigned bool
	Suspects []Incarnation
	Banned   []Incarnation
	Entry    *Entry
}

// NewPing returns a ping with the fields of the spec.
func NewPing(s PingSpec) *Ping {
	return &Ping{
		from:     s.From,
		epoch:    s.Epoch,
		leased:   s.Leased,
		resigned: s.Resigned,
		suspects: s.Suspects,
		banned:   s.Banned,
		entry:    s.Entry,
	}
}

// From returns the sender.
func (p *Ping) From() VM { return p.from }

// Epoch returns the sender's epoch.
func (p *Ping) Epoch() uint64 { return p.epoch }

// Leased reports whether the sender's lease was valid when the ping was sent.
func (p *Ping) Leased() bool { return p.leased }

// Resigned reports whether the sender has given up all ranges permanently.
func (p *Ping) Resigned() bool { return p.resigned }

// Suspects returns the members that the receiver is asked to ban.
func (p *Ping) Suspects() []Incarnation { return p.suspects }

// Banned returns the members that a majority of the epoch's members has promised
// to ban.
func (p *Ping) Banned() []Incarnation { return p.banned }

// Entry returns the entry that began the sender's epoch, or nil.
func (p *Ping) Entry() *Entry { return p.entry }

// Reply answers a ping.
type Reply struct {
	from  Incarnation
	epoch uint64
	// acknowledged is set if the reply counts towards the lease of the ping's
	// sender in epoch.
	acknowledged bool
	// refused is set if the replier has promised to ban the ping's sender in epoch.
	refused bool
	// bannedBefore is set if the replier promised to ban the ping's sender in the
	// previous epoch.
	bannedBefore bool
	// resigned is set once the replier has given up all ranges permanently.
	resigned bool
	// promised are those of the ping's suspects that the replier has promised
	// to ban.
	promised []Incarnation
	// banned are the members that a majority of the epoch's members has promised
	// to ban.
	banned []Incarnation
	// entry began the replier's epoch; nil unless the ping's epoch is lower.
	entry *Entry
}

// ReplySpec lists the fields of a reply.
type ReplySpec struct {
	From         Incarnation
	Epoch        uint64
	Acknowledged bool
	Refused      bool
	BannedBefore bool
	Resigned     bool
	Promised     []Incarnation
	Banned       []Incarnation
	Entry        *Entry
}

// NewReply returns a reply with the fields of the spec.
func NewReply(s ReplySpec) *Reply {
	return &Reply{
		from:         s.From,
		epoch:        s.Epoch,
		acknowledged: s.Acknowledged,
		refused:      s.Refused,
		bannedBefore: s.BannedBefore,
		resigned:     s.Resigned,
		promised:     s.Promised,
		banned:       s.Banned,
		entry:        s.Entry,
	}
}

// From returns the replier's incarnation.
func (r *Reply) From() Incarnation { return r.from }

// Epoch returns the replier's epoch.
func (r *Reply) Epoch() uint64 { return r.epoch }

// Acknowledged reports whether the reply counts towards the lease of the
// ping's sender.
func (r *Reply) Acknowledged() bool { return r.acknowledged }

// Refused reports whether the replier has promised to ban the ping's sender.
func (r *Reply) Refused() bool { return r.refused }

// BannedBefore reports whether the replier promised to ban the ping's sender in the
// previous epoch.
func (r *Reply) BannedBefore() bool { return r.bannedBefore }

// Resigned reports whether the replier has given up all ranges permanently.
func (r *Reply) Resigned() bool { return r.resigned }

// Promised returns those of the ping's suspects that the replier has promised
// to ban.
func (r *Reply) Promised() []Incarnation { return r.promised }

// Banned returns the members that a majority of the epoch's members has promised
// to ban.
func (r *Reply) Banned() []Incarnation { return r.banned }

// Entry returns the entry that began the replier's epoch, or nil.
func (r *Reply) Entry() *Entry { return r.entry }
