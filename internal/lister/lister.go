// Package lister is the client of the platform's list of live and leaving VMs.
package lister

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	callTimeout      = 3 * time.Second
	maxResponseBytes = 16 << 20
)

// Role tells what a VM runs.
type Role string

// The roles of VMs.
const (
	// RoleEntry is the role of VMs that run lagoonkeel.
	RoleEntry Role = "entry"
	// RoleUpstream is the role of VMs that run targets.
	RoleUpstream Role = "upstream"
)

// VM is one VM of the platform's list. The list may be out of date.
type VM struct {
	id         string
	role       Role
	address    string
	dataCentre string
	leaving    bool
}

// NewVM returns a VM. The address is the VM's IP address and port for its role: the peer
// listener of a VM with RoleEntry, the service port of one with RoleUpstream.
func NewVM(id string, role Role, address, dataCentre string, leaving bool) VM {
	return VM{
		id:         id,
		role:       role,
		address:    address,
		dataCentre: dataCentre,
		leaving:    leaving,
	}
}

// ID returns the VM's name.
func (v VM) ID() string { return v.id }

// Role returns what the VM runs.
func (v VM) Role() Role { return v.role }

// Address returns the VM's IP address and its port for its role.
func (v VM) Address() string { return v.address }

// DataCentre returns the VM's data centre.
func (v VM) DataCentre() string { return v.dataCentre }

// Leaving reports whether the platform is about to stop the VM.
func (v VM) Leaving() bool { return v.leaving }

// StatusError reports a response of the VM list with a status other than 200.
type StatusError struct {
	status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the VM list returned status %d", e.status)
}

// Client reads the platform's list.
type Client struct {
	url  string
	http *http.Client
}

// NewClient returns a client of the list at the base URL.
func NewClient(base string) *Client {
	return &Client{
		url: strings.TrimSuffix(base, "/") + "/vms",
		http: &http.Client{
			Timeout: callTimeout,
		},
	}
}

type vmJSON struct {
	ID         string `json:"id"`
	Role       string `json:"role"`
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	Leaving    bool   `json:"leaving"`
}

// List returns the platform's current list. The error is a *StatusError for a response
// with a status other than 200.
func (c *Client) List(ctx context.Context) ([]VM, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "calling the VM list")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "calling the VM list")
	}
	defer resp.Body.Close() //nolint:errcheck // An error of closing a response body has no effect.
	if resp.StatusCode != http.StatusOK {
		return nil, &StatusError{
			status: resp.StatusCode,
		}
	}
	var list []vmJSON
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&list); err != nil {
		return nil, errors.Wrap(err, "decoding the VM list")
	}
	vms := make([]VM, 0, len(list))
	for _, v := range list {
		vms = append(vms, NewVM(v.ID, Role(v.Role), v.Address, v.DataCentre, v.Leaving))
	}

	return vms, nil
}
