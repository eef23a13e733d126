package handler

import "strconv"

// Labels tell what an exchange was about, for traces and metrics. They hold no
// secret of the caller.
type Labels struct {
	exchange *Exchange
}

// Labels returns the labels of the exchange as they stand.
func (x *Exchange) Labels() Labels {
	return Labels{
		exchange: x,
	}
}

// Each calls f for every label that is known.
func (l Labels) Each(f func(name, value string)) {
	x := l.exchange
	if x == nil {
		return
	}
	if x.team != nil {
		f("lagoonkeel.team", x.team.Name())
	}
	if x.route != nil { // The scrub filter has passed the method: it holds no key.
		f("http.request.method", x.request.method)
		f("lagoonkeel.route", x.route.Name())
		f("lagoonkeel.service", x.route.Service())
	}
	if x.target != nil {
		f("lagoonkeel.target", x.target.Name())
	}
	if x.response != nil {
		f("http.response.status_code", strconv.Itoa(x.response.status))
	}
}
