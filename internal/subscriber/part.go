package subscriber

// Part is one of several partitions of the VMs of the fleet, by hash.
type Part struct {
	number int
	count  int
}

// NewPart returns the partition number, from 0 to count-1, of count partitions.
func NewPart(number, count int) Part {
	return Part{
		number: number,
		count:  count,
	}
}

// Has reports whether a VM with the hash is in the partition.
func (p Part) Has(hash uint32) bool { return int(hash)%p.count == p.number }
