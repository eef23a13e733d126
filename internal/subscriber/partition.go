package subscriber

// Partition is one of several partitions of the VMs of the fleet, by hash.
type Partition struct {
	number int
	count  int
}

// NewPartition returns the partition number, from 0 to count-1, of count partitions.
func NewPartition(number, count int) Partition {
	return Partition{
		number: number,
		count:  count,
	}
}

// Number returns the number of the partition, from 0 to Count-1.
func (p Partition) Number() int { return p.number }

// Count returns the number of partitions.
func (p Partition) Count() int { return p.count }

// Contains reports whether a VM with the hash is in the partition.
func (p Partition) Contains(hash uint32) bool { return int(hash)%p.count == p.number }
