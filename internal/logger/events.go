package logger

// Event is one kind of log line. Its number never changes meaning.
type Event struct {
	number  int
	level   Level
	name    string
	meaning string
}

// Number returns the stable number.
func (e Event) Number() int { return e.number }

// Level returns the level.
func (e Event) Level() Level { return e.level }

// Name returns the short name.
func (e Event) Name() string { return e.name }

// Meaning tells an operator what happened.
func (e Event) Meaning() string { return e.meaning }

// The events, in the order of their numbers. 1xx: process; 2xx: configuration;
// 3xx: membership; 4xx: rates and claims; 5xx: targets; 6xx: requests.
var (
	Started          = Event{number: 100, level: LevelInfo, name: "started", meaning: "The process listens on all its addresses."}
	Stopping         = Event{number: 101, level: LevelInfo, name: "stopping", meaning: "A planned stop began; the VM is no longer ready and finishes its requests."}
	Stopped          = Event{number: 102, level: LevelInfo, name: "stopped", meaning: "The process ended with every request answered."}
	Failed           = Event{number: 103, level: LevelAlarm, name: "failed", meaning: "A part of the process failed and the process ends."}
	ChangeApplied    = Event{number: 200, level: LevelInfo, name: "change-applied", meaning: "A published change is in force on this VM."}
	ChangeSkipped    = Event{number: 201, level: LevelWarn, name: "change-skipped", meaning: "A record of the log was not accepted; every VM skips it."}
	LogUnavailable   = Event{number: 202, level: LevelWarn, name: "log-unavailable", meaning: "The log service does not answer; the VM goes on with the state it has."}
	LogAvailable     = Event{number: 203, level: LevelInfo, name: "log-available", meaning: "The log service answers again."}
	ListUnavailable  = Event{number: 300, level: LevelWarn, name: "list-unavailable", meaning: "The platform's VM list does not answer; the VM keeps the last one."}
	ClaimsLogged     = Event{number: 410, level: LevelInfo, name: "claims-logged", meaning: "Claims of idempotency keys go to the log again."}
	ClaimsInMemory   = Event{number: 411, level: LevelWarn, name: "claims-in-memory", meaning: "The log does not take claims; holder and sender keep them in memory until it does."}
	ClaimsIncomplete = Event{number: 412, level: LevelWarn, name: "claims-incomplete", meaning: "A new holder cannot know all claims of a range and refuses them until it can."}
	ClaimsUnreadable = Event{number: 413, level: LevelAlarm, name: "claims-unreadable", meaning: "A record of the claims stream cannot be read; its claims are not known to this VM."}
	Quarantined      = Event{number: 510, level: LevelAlarm, name: "quarantined", meaning: "A request ended two targets and is refused for a while; find out what is in it."}
)

// Events returns every event in the order of the numbers.
func Events() []Event {
	return []Event{
		Started, Stopping, Stopped, Failed,
		ChangeApplied, ChangeSkipped, LogUnavailable, LogAvailable,
		ListUnavailable,
		ClaimsLogged, ClaimsInMemory, ClaimsIncomplete, ClaimsUnreadable,
		Quarantined,
	}
}
