package queuer

// schedulers finds the scheduler of a service.
type schedulers interface {
	// of returns the scheduler of the service, which may be new.
	of(service string) *Scheduler
	// find returns the scheduler of the service, or false where none was needed yet.
	find(service string) (*Scheduler, bool)
	// each calls f with every scheduler and the name of its service.
	each(f func(service string, s *Scheduler))
}

// sharedScheduler has one scheduler for all services, which share a bound in all. Its
// scheduler has no name.
type sharedScheduler struct {
	scheduler *Scheduler
}

func (s sharedScheduler) of(string) *Scheduler { return s.scheduler }

func (s sharedScheduler) find(string) (*Scheduler, bool) { return s.scheduler, true }

func (s sharedScheduler) each(f func(service string, s *Scheduler)) { f("", s.scheduler) }

// serviceSchedulers maps each service that ever had a request to its scheduler.
type serviceSchedulers map[string]*Scheduler

func (m serviceSchedulers) of(service string) *Scheduler {
	s, ok := m[service]
	if !ok {
		s = NewServiceScheduler()
		m[service] = s
	}

	return s
}

func (m serviceSchedulers) find(service string) (*Scheduler, bool) {
	s, ok := m[service]

	return s, ok
}

func (m serviceSchedulers) each(f func(service string, s *Scheduler)) {
	for service, s := range m {
		f(service, s)
	}
}
