package commander

import (
	"context"
	"fmt"

	"github.com/lagoonkeel/lagoonkeel/internal/lister"
	"github.com/lagoonkeel/lagoonkeel/internal/messenger"
	"github.com/lagoonkeel/lagoonkeel/internal/publisher"
	"github.com/lagoonkeel/lagoonkeel/internal/recorder"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// listedFleet calls the VMs on the platform's VM list at the addresses of their
// peers' listeners.
type listedFleet struct {
	list   *lister.Client
	client *messenger.ConfigurationClient
}

// VMs returns the entry VMs on the list that are not leaving.
func (l *listedFleet) VMs(ctx context.Context) ([]publisher.VM, error) {
	list, err := l.list.List(ctx)
	if err != nil {
		return nil, err
	}
	var vms []publisher.VM
	for _, v := range list {
		if v.Role() == lister.RoleEntry && !v.Leaving() {
			vms = append(vms, publisher.NewVM(v.ID(), v.Address()))
		}
	}

	return vms, nil
}

// InForce reports whether the VM has applied the log's record with the version.
func (l *listedFleet) InForce(ctx context.Context, address string, v manifester.Version) (in bool, progress string, err error) {
	p, err := l.client.Position(ctx, address)
	if err != nil {
		return false, "", err
	}

	return p.Next() > recorder.Offset(v), fmt.Sprintf("it has applied the log before offset %d", p.Next()), nil
}

// namedFleet calls VMs at the given addresses of their operators' listeners.
type namedFleet []string

// VMs returns the VMs, named by their addresses.
func (n namedFleet) VMs(context.Context) ([]publisher.VM, error) {
	vms := make([]publisher.VM, 0, len(n))
	for _, address := range n {
		vms = append(vms, publisher.NewVM(address, address))
	}

	return vms, nil
}

// InForce reports whether the VM's status shows the version or a later one.
func (n namedFleet) InForce(ctx context.Context, address string, v manifester.Version) (in bool, progress string, err error) {
	s, err := fetchStatus(ctx, address)
	if err != nil {
		return false, "", err
	}

	return manifester.Version(s.Version) >= v, fmt.Sprintf("version %d is in force", s.Version), nil
}
