package prover

import (
	"net/http"
	"testing"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/standin"
)

// TestHarness checks the faults that the harness injects. If a fault had no
// effect, the other tests would pass without having tested anything.
func TestHarness(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSpec{
		vms: 1,
		upstreams: map[string]int{
			"bookings":  1,
			"fieldbook": 1,
		},
	})
	f.mustPublish(bookingManifest(f))
	f.waitReady()
	v := f.vms[0]
	quick := &http.Client{
		Timeout:   500 * time.Millisecond,
		Transport: &http.Transport{DisableKeepAlives: true},
	}
	species := request{path: "/species/amanita", key: guidesKey}
	expect := func(what string, want bool) {
		t.Helper()
		if got := send(quick, v.callersAddr, species).err == nil; got != want {
			t.Errorf("%s: answered=%v, want %v", what, got, want)
		}
	}
	expect("without a fault", true)
	v.freeze()
	expect("frozen", false)
	v.resume()
	waitFor(t, "the resumed VM answers", func() bool { return send(quick, v.callersAddr, species).err == nil })

	u := f.targets["fieldbook"][0]
	u.setFaults(t, standin.UpstreamFaults{ErrorShare: 1})
	// A refusal by the VM is accepted as well.
	if a := send(quick, v.callersAddr, species); a.status != http.StatusInternalServerError && a.outcome == "" {
		t.Errorf("a failing upstream gave %v", a)
	}
	u.setFaults(t, standin.UpstreamFaults{})
	if n := len(f.runs("fieldbook")); n == 0 {
		t.Error("no run was recorded")
	}
	f.setLogFaults(standin.LogFaults{Down: true})
	if code, _ := f.publish(bookingManifest(f)); code != 1 {
		t.Errorf("publish without a log exited with %d, want 1", code)
	}
	f.setLogFaults(standin.LogFaults{})
	v.kill()
	expect("killed", false)
	v.start()
	waitFor(t, "the restarted VM is ready", v.isReady)
}

// TestRelay checks the network faults that the relay injects.
func TestRelay(t *testing.T) {
	t.Parallel()
	u := standin.NewUpstream("u", standin.DefaultSlots)
	s, err := standin.Listen("127.0.0.1:0", u.Handler())
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Run(t.Context()) }()
	r := startRelay(t, s.Address())
	call := func(what string, want bool) {
		t.Helper()
		c := &http.Client{
			Timeout:   300 * time.Millisecond,
			Transport: &http.Transport{DisableKeepAlives: true},
		}
		if got := send(c, r.address(), request{path: "/x"}).err == nil; got != want {
			t.Errorf("%s: answered=%v, want %v", what, got, want)
		}
	}
	call("without a fault", true)
	r.drop(toServer, true)
	call("requests dropped", false)
	if n := len(u.Runs()); n != 1 {
		t.Errorf("%d requests ran, want 1", n)
	}
	r.heal()
	r.drop(toClient, true)
	call("answers dropped", false)
	if n := len(u.Runs()); n != 2 {
		t.Errorf("%d requests ran, want 2", n)
	}
	r.heal()
	r.setDelay(toClient, time.Second)
	call("answers delayed", false)
	r.heal()
	r.disconnect()
	call("disconnected", false)
	r.heal()
	call("healed", true)
}
