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
	// overRateRequests is enough to use up the burst of the team hostels on all VMs.
	overRateRequests = 24
	// loadRate is in requests per second over all VMs.
	loadRate    = 200
	loadWorkers = 16
	// slowWorkMs is the service time of the slow upstream, in milliseconds.
	slowWorkMs = 120
	// detectionRequests is a load long enough for the fleet to detect the slow upstream.
	// checkRequests is the load of which its share is then measured.
	detectionRequests = 800
	checkRequests     = 400
	// maxSlowShare is the highest share of the load that an ejected upstream may get.
	maxSlowShare = 0.08
	stopRequests = 400
)

func showLookup(ctx context.Context, f *fleet) (string, bool, error) {
	r, err := f.call(ctx, f.vms[0], http.MethodGet, "/species/amanita", guidesKey)

	return fmt.Sprintf("status %d from %s", r.status, r.target), r.status == http.StatusOK && r.target != "", err
}

func showBooking(ctx context.Context, f *fleet) (string, bool, error) {
	r, err := f.call(ctx, f.vms[1], http.MethodPost, "/bookings/seat-1", guidesKey)

	return fmt.Sprintf("status %d from %s", r.status, r.target), r.status == http.StatusOK && r.target != "", err
}

func showWrongKey(ctx context.Context, f *fleet) (string, bool, error) {
	r, err := f.call(ctx, f.vms[2], http.MethodGet, "/species/amanita", "lk_wrong")

	return fmt.Sprintf("status %d, %s", r.status, r.outcome), r.status == http.StatusUnauthorized && r.outcome == "not-run", err
}

// showOverRate sends more requests at once, over all VMs, than the burst of the team
// hostels.
func showOverRate(ctx context.Context, f *fleet) (string, bool, error) {
	var served, refused atomic.Int64
	g, callers := errgroup.WithContext(ctx)
	for i := range overRateRequests {
		g.Go(func() error {
			r, err := f.call(callers, f.vms[i%len(f.vms)], http.MethodGet, "/species/amanita", hostelsKey)
			if r.status == http.StatusOK {
				served.Add(1)
			}
			if r.status == http.StatusTooManyRequests && r.outcome == "not-run" {
				refused.Add(1)
			}

			return err
		})
	}
	err := g.Wait()
	observed := fmt.Sprintf("%d of %d served, %d refused with status 429, not-run", served.Load(), overRateRequests, refused.Load())

	return observed, refused.Load() > 0 && served.Load()+refused.Load() == overRateRequests, errors.Wrap(err, "sending requests")
}

// showWithdrawal replaces the key of the team guides while connections to the VMs stay
// open.
func showWithdrawal(ctx context.Context, f *fleet) (string, bool, error) {
	if err := f.publish(ctx, guidesNextKey); err != nil {
		return "", false, err
	}
	old, err := f.call(ctx, f.vms[0], http.MethodGet, "/species/amanita", guidesKey)
	if err != nil {
		return "", false, err
	}
	next, err := f.call(ctx, f.vms[0], http.MethodGet, "/species/amanita", guidesNextKey)
	observed := fmt.Sprintf("old key: status %d, new key: status %d", old.status, next.status)

	return observed, old.status == http.StatusUnauthorized && next.status == http.StatusOK, err
}

// showEjection makes one upstream more than ten times slower and measures its share of the
// load afterwards.
func showEjection(ctx context.Context, f *fleet) (string, bool, error) {
	slow := f.upstreams[fieldbook][0]
	slow.SetFaults(standin.UpstreamFaults{
		WorkMs: slowWorkMs,
	})
	if _, err := f.sendLoad(ctx, detectionRequests); err != nil {
		return "", false, err
	}
	report, err := f.sendLoad(ctx, checkRequests)
	if err != nil {
		return "", false, err
	}
	share := float64(report.Targets[targetName(fieldbook, 0)]) / checkRequests
	slow.SetFaults(standin.UpstreamFaults{})

	return fmt.Sprintf("it gets %.1f%% of the load after detection", 100*share), share <= maxSlowShare, nil
}

// showStop stops one VM under load. Requests go to ready VMs only, as they do behind a
// load balancer.
func showStop(ctx context.Context, f *fleet) (string, bool, error) {
	var served atomic.Int64
	var failures sync.Map
	g, callers := errgroup.WithContext(ctx)
	for w := range loadWorkers {
		g.Go(func() error {
			for i := range stopRequests / loadWorkers {
				r, err := f.call(callers, f.readyVM(w+i), http.MethodPost, "/bookings/seat-2", guidesNextKey)
				if err != nil || r.status != http.StatusOK {
					failures.Store(fmt.Sprintf("status %d %s", r.status, r.body), err)

					continue
				}
				served.Add(1)
			}

			return nil
		})
	}
	stopping := f.vms[0]
	stopping.stop()
	if err := <-stopping.stopped; err != nil {
		return "", false, err
	}
	err := g.Wait()

	observed := fmt.Sprintf("%d of %d served", served.Load(), stopRequests)
	failures.Range(func(what, cause any) bool {
		observed += fmt.Sprintf(", %v %v", what, cause)

		return true
	})

	return observed, served.Load() == stopRequests, errors.Wrap(err, "sending a load")
}

// readyVM returns the first ready VM from the nth on, or the nth VM if none is ready.
func (f *fleet) readyVM(n int) *vm {
	for i := range f.vms {
		if v := f.vms[(n+i)%len(f.vms)]; v.Ready() {
			return v
		}
	}

	return f.vms[n%len(f.vms)]
}

// sendLoad sends the number of lookups to all VMs in turn.
func (f *fleet) sendLoad(ctx context.Context, requests int) (*standin.Report, error) {
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
