package demonstrator

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/lagoonkeel/lagoonkeel/internal/standin"
)

const (
	// overRateTries is enough to use up the small team's burst on all VMs.
	overRateTries = 24
	// loadRate is in requests per second over all VMs.
	loadRate    = 200
	loadWorkers = 16
	// graySlow is the time that the gray upstream takes for a request.
	graySlow = 120
	// grayLoad gives the fleet time to find the gray upstream, and grayCheck is
	// the load by which its share is judged.
	grayLoad  = 800
	grayCheck = 400
	// maxGrayShare is the most that an ejected upstream may get of the load.
	maxGrayShare = 0.08
	stopLoad     = 400
)

func showLookup(ctx context.Context, f *fleet) (string, bool, error) {
	a, err := f.call(ctx, f.vms[0], http.MethodGet, "/species/amanita", guidesKey)

	return fmt.Sprintf("status %d from %s", a.status, a.target), a.status == http.StatusOK && a.target != "", err
}

func showBooking(ctx context.Context, f *fleet) (string, bool, error) {
	a, err := f.call(ctx, f.vms[1], http.MethodPost, "/bookings/seat-1", guidesKey)

	return fmt.Sprintf("status %d from %s", a.status, a.target), a.status == http.StatusOK && a.target != "", err
}

func showWrongKey(ctx context.Context, f *fleet) (string, bool, error) {
	a, err := f.call(ctx, f.vms[2], http.MethodGet, "/species/amanita", "lk_wrong")

	return fmt.Sprintf("status %d, %s", a.status, a.outcome), a.status == http.StatusUnauthorized && a.outcome == "not-run", err
}

// showOverRate sends more than the small team's burst over all VMs at once.
func showOverRate(ctx context.Context, f *fleet) (string, bool, error) {
	var served, refused atomic.Int64
	g, callers := errgroup.WithContext(ctx)
	for i := range overRateTries {
		g.Go(func() error {
			a, err := f.call(callers, f.vms[i%len(f.vms)], http.MethodGet, "/species/amanita", hostelsKey)
			if a.status == http.StatusOK {
				served.Add(1)
			}
			if a.status == http.StatusTooManyRequests && a.outcome == "not-run" {
				refused.Add(1)
			}

			return err
		})
	}
	err := g.Wait()
	seen := fmt.Sprintf("%d of %d served, %d refused with status 429, not-run", served.Load(), overRateTries, refused.Load())

	return seen, refused.Load() > 0 && served.Load()+refused.Load() == overRateTries, errors.Wrap(err, "sending requests")
}

// showWithdrawal replaces the guides' key while connections stay open.
func showWithdrawal(ctx context.Context, f *fleet) (string, bool, error) {
	if err := f.publish(ctx, guidesNextKey); err != nil {
		return "", false, err
	}
	old, err := f.call(ctx, f.vms[0], http.MethodGet, "/species/amanita", guidesKey)
	if err != nil {
		return "", false, err
	}
	next, err := f.call(ctx, f.vms[0], http.MethodGet, "/species/amanita", guidesNextKey)
	seen := fmt.Sprintf("old key: status %d, new key: status %d", old.status, next.status)

	return seen, old.status == http.StatusUnauthorized && next.status == http.StatusOK, err
}

// showEjection slows one upstream tenfold and more and watches its share.
func showEjection(ctx context.Context, f *fleet) (string, bool, error) {
	gray := f.upstreams[fieldbook][0]
	gray.SetFaults(standin.UpstreamFaults{
		WorkMs: graySlow,
	})
	if _, err := f.load(ctx, grayLoad); err != nil {
		return "", false, err
	}
	report, err := f.load(ctx, grayCheck)
	if err != nil {
		return "", false, err
	}
	share := float64(report.Targets[targetName(fieldbook, 0)]) / grayCheck
	gray.SetFaults(standin.UpstreamFaults{})

	return fmt.Sprintf("it gets %.1f%% of the load afterwards", 100*share), share <= maxGrayShare, nil
}

// showStop stops one VM under load. Callers go to ready VMs only, as they do
// behind a balancer.
func showStop(ctx context.Context, f *fleet) (string, bool, error) {
	var served atomic.Int64
	var failures sync.Map
	g, callers := errgroup.WithContext(ctx)
	for w := range loadWorkers {
		g.Go(func() error {
			for i := range stopLoad / loadWorkers {
				a, err := f.call(callers, f.readyVM(w+i), http.MethodPost, "/bookings/seat-2", guidesNextKey)
				if err != nil || a.status != http.StatusOK {
					failures.Store(fmt.Sprintf("status %d %s", a.status, a.body), err)

					continue
				}
				served.Add(1)
			}

			return nil
		})
	}
	leaving := f.vms[0]
	leaving.stop()
	if err := <-leaving.stopped; err != nil {
		return "", false, err
	}
	err := g.Wait()

	seen := fmt.Sprintf("%d of %d served", served.Load(), stopLoad)
	failures.Range(func(what, cause any) bool {
		seen += fmt.Sprintf(", %v %v", what, cause)

		return true
	})

	return seen, served.Load() == stopLoad, errors.Wrap(err, "sending a load")
}

// readyVM returns the nth ready VM in turn.
func (f *fleet) readyVM(n int) *vm {
	for i := range f.vms {
		if v := f.vms[(n+i)%len(f.vms)]; v.Ready() {
			return v
		}
	}

	return f.vms[n%len(f.vms)]
}

// load sends lookups to every VM in turn.
func (f *fleet) load(ctx context.Context, requests int) (*standin.Report, error) {
	entries := make([]string, 0, len(f.vms))
	for _, v := range f.vms {
		entries = append(entries, v.Callers())
	}
	report, err := standin.NewCaller(standin.Plan{
		Entries:  entries,
		Method:   http.MethodGet,
		Path:     "/species/amanita",
		Key:      guidesNextKey,
		Requests: requests,
		Workers:  loadWorkers,
		Rate:     loadRate,
	}).Run(ctx)

	return report, errors.Wrap(err, "sending a load")
}
