package demonstrator

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/lagoonkeel/lagoonkeel/internal/assembler"
	"github.com/lagoonkeel/lagoonkeel/internal/configurer"
	"github.com/lagoonkeel/lagoonkeel/internal/decoder"
	"github.com/lagoonkeel/lagoonkeel/internal/keyer"
	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/publisher"
	"github.com/lagoonkeel/lagoonkeel/internal/snapshotter"
	"github.com/lagoonkeel/lagoonkeel/internal/standin"
	"github.com/lagoonkeel/lagoonkeel/internal/streamer"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

const (
	loopbackAddress = "127.0.0.1:0"
	vmCount         = 3
	targetCount     = 4
	maxBody         = 1 << 16
	stopGrace       = 300 * time.Millisecond
	pollInterval    = 20 * time.Millisecond
	callTimeout     = 5 * time.Second
	routeTimeout    = 3 * time.Second
	largeRate       = 2000
	largeBurst      = 500
	smallRate       = 1
	smallBurst      = 3
	serviceFloor    = 8
	dataCentre      = "kandy"
	region          = "central-hills"
	fieldbook       = "fieldbook"
	bookings        = "bookings"
	guidesKey       = "lk_demo-guides"
	guidesNextKey   = "lk_demo-guides-next"
	hostelsKey      = "lk_demo-hostels"
)

// vm is a running VM.
type vm struct {
	*assembler.VM
	stop context.CancelFunc
	// stopped receives the result of Run.
	stopped chan error
}

// fleet holds the VMs and upstreams on which the steps run, and the timers and the client
// that the steps use.
type fleet struct {
	group  *errgroup.Group
	timers *timer.Service
	logURL string
	client *http.Client
	vms    []*vm
	// upstreams and addresses are keyed by the name of the service.
	upstreams map[string][]*standin.Upstream
	addresses map[string][]string
}

// startFleet starts the stand-ins and the VMs, publishes the first manifest and waits
// until every VM is ready.
func startFleet(ctx context.Context) (*fleet, error) {
	group, ctx := errgroup.WithContext(ctx)
	f := &fleet{
		group:  group,
		timers: timer.NewService(),
		client: &http.Client{
			Timeout: callTimeout,
		},
		upstreams: map[string][]*standin.Upstream{},
		addresses: map[string][]string{},
	}
	group.Go(func() error {
		return f.timers.Run(ctx)
	})
	logAddress, err := f.serve(ctx, standin.NewLog().Handler())
	if err != nil {
		return nil, err
	}
	f.logURL = "http://" + logAddress
	list := standin.NewVMs()
	listAddress, err := f.serve(ctx, list.Handler())
	if err != nil {
		return nil, err
	}
	if err := f.startUpstreams(ctx); err != nil {
		return nil, err
	}
	if err := f.startVMs(ctx, "http://"+listAddress); err != nil {
		return nil, err
	}
	list.Set(f.entries())
	if err := f.publish(ctx, guidesKey); err != nil {
		return nil, err
	}

	return f, f.waitFor(ctx, "every VM is ready", f.ready)
}

func (f *fleet) serve(ctx context.Context, h standin.Handler) (string, error) {
	s, err := standin.Listen(loopbackAddress, h)
	if err != nil {
		return "", errors.Wrap(err, "starting a stand-in")
	}
	f.group.Go(func() error {
		return errors.Wrap(s.Run(ctx), "running a stand-in")
	})

	return s.Address(), nil
}

func (f *fleet) startUpstreams(ctx context.Context) error {
	for _, service := range []string{bookings, fieldbook} {
		for i := range targetCount {
			u := standin.NewUpstream(targetName(service, i), standin.DefaultSlots)
			address, err := f.serve(ctx, u.Handler())
			if err != nil {
				return err
			}
			f.upstreams[service] = append(f.upstreams[service], u)
			f.addresses[service] = append(f.addresses[service], address)
		}
	}

	return nil
}

func targetName(service string, i int) string {
	return fmt.Sprintf("%s-%d", service, i+1)
}

func (f *fleet) startVMs(ctx context.Context, vmListURL string) error {
	for i := range vmCount {
		a, err := assembler.New(configurer.New(configurer.Spec{
			ID:         fmt.Sprintf("vm-%d", i+1),
			DataCentre: dataCentre,
			Region:     region,
			Callers:    loopbackAddress,
			Peers:      loopbackAddress,
			Operators:  loopbackAddress,
			LogURL:     f.logURL,
			VMListURL:  vmListURL,
			MaxBody:    maxBody,
			StopGrace:  stopGrace,
		}), logger.Discard())
		if err != nil {
			return errors.Wrap(err, "starting a VM")
		}
		vmCtx, stop := context.WithCancel(ctx)
		v := &vm{
			VM:      a,
			stop:    stop,
			stopped: make(chan error, 1),
		}
		f.vms = append(f.vms, v)
		f.group.Go(func() error {
			err := v.Run(vmCtx)
			v.stopped <- err

			return errors.Wrap(err, "running a VM")
		})
	}

	return nil
}

// entries returns the entries of all VMs and upstreams for the platform's VM list.
func (f *fleet) entries() []standin.VMEntry {
	var list []standin.VMEntry
	for i, v := range f.vms {
		list = append(list, standin.VMEntry{
			ID:         fmt.Sprintf("vm-%d", i+1),
			Role:       "entry",
			Address:    v.Peers(),
			DataCentre: dataCentre,
		})
	}
	for service, addresses := range f.addresses {
		for i, a := range addresses {
			list = append(list, standin.VMEntry{
				ID:         targetName(service, i),
				Role:       "upstream",
				Address:    a,
				DataCentre: dataCentre,
			})
		}
	}

	return list
}

// publish publishes a manifest in which the team guides has the keys, and waits until it
// is in force on every VM.
func (f *fleet) publish(ctx context.Context, keys ...string) error {
	m, err := f.manifest(keys)
	if err != nil {
		return errors.Wrap(err, "building the manifest")
	}
	log := streamer.NewClient(f.logURL)
	p := publisher.New(log, snapshotter.NewLoader(log, decoder.Chunk), f.timers, callTimeout)
	plan, err := p.Plan(ctx, m)
	if err != nil {
		return errors.Wrap(err, "planning the change")
	}
	version, err := p.Publish(ctx, plan)
	if err != nil {
		return errors.Wrap(err, "publishing the manifest")
	}

	return f.waitFor(ctx, "the manifest is in force", func() bool {
		for _, v := range f.vms {
			if v.Version() < version {
				return false
			}
		}

		return true
	})
}

func (f *fleet) manifest(keys []string) (*manifester.Manifest, error) {
	digests := make([]string, 0, len(keys))
	for _, k := range keys {
		digests = append(digests, keyer.Digest(k))
	}

	return manifester.Restore(manifester.NoVersion,
		[]*manifester.Service{
			manifester.NewService(bookings, manifester.ClassBooking, serviceFloor, f.targets(bookings)),
			manifester.NewService(fieldbook, manifester.ClassLookup, serviceFloor, f.targets(fieldbook)),
		},
		[]*manifester.Team{
			manifester.NewTeam("guides", largeRate, largeBurst, 1, digests),
			manifester.NewTeam("hostels", smallRate, smallBurst, 1, []string{keyer.Digest(hostelsKey)}),
		},
		[]*manifester.Route{
			manifester.NewRoute(manifester.RouteSpec{
				Name:    "book",
				Method:  http.MethodPost,
				Prefix:  "/bookings",
				Service: bookings,
				Timeout: routeTimeout,
			}),
			manifester.NewRoute(manifester.RouteSpec{
				Name:       "species",
				Method:     http.MethodGet,
				Prefix:     "/species",
				Service:    fieldbook,
				Idempotent: true,
				Timeout:    routeTimeout,
			}),
		})
}

func (f *fleet) targets(service string) []*manifester.Target {
	list := make([]*manifester.Target, 0, targetCount)
	for i, a := range f.addresses[service] {
		list = append(list, manifester.NewTarget(manifester.TargetSpec{
			Name:        targetName(service, i),
			Address:     a,
			DataCentre:  dataCentre,
			Slots:       standin.DefaultSlots,
			Connections: 400, //nolint:mnd // The usual limit of connections to a target.
		}))
	}

	return list
}

func (f *fleet) ready() bool {
	for _, v := range f.vms {
		if !v.Ready() {
			return false
		}
	}

	return true
}

// TimeoutError reports that the fleet did not reach a state before the context ended.
type TimeoutError struct {
	state string
}

// Error implements error.
func (e *TimeoutError) Error() string {
	return "not reached in time: " + e.state
}

// waitFor waits until ok returns true. It returns a *TimeoutError if ctx ends first.
func (f *fleet) waitFor(ctx context.Context, state string, ok func() bool) error {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for !ok() {
		select {
		case <-ctx.Done():
			return &TimeoutError{
				state: state,
			}
		case <-t.C:
		}
	}

	return nil
}

// wait waits until the timers, the stand-ins and the VMs have stopped.
func (f *fleet) wait() error {
	return errors.Wrap(f.group.Wait(), "ending the fleet")
}

// response is the part of a response that the steps check.
type response struct {
	status  int
	outcome string
	target  string
	// body is the refusal if outcome is set.
	body string
}

func (f *fleet) call(ctx context.Context, v *vm, method, path, key string) (response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+v.Callers()+path, bytes.NewReader(nil))
	if err != nil {
		return response{}, errors.Wrap(err, "building a request")
	}
	req.Header.Set("Lagoonkeel-Key", key)
	resp, err := f.client.Do(req)
	if err != nil {
		return response{}, errors.Wrap(err, "calling a VM")
	}

	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return response{}, errors.Wrap(err, "reading a response")
	}

	return response{
		body:    string(body),
		status:  resp.StatusCode,
		outcome: resp.Header.Get("Lagoonkeel-Outcome"),
		target:  resp.Header.Get("Test-Target"),
	}, errors.Wrap(resp.Body.Close(), "reading a response")
}
