package handler

import "strconv"

// Labels describe an exchange in traces. They contain none of the caller's
// credentials.
type Labels struct {
	exchange *Exchange
}

// Labels returns the labels of the exchange. Their values are read when
// Labels.Each is called.
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
	if x.route != nil { // Where the chain has the scrub filter, it has run and found no key in the method.
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
