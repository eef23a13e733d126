package listener

import "time"

// SetReadTimeout replaces the bound of the reading of one request.
func (l *Listener) SetReadTimeout(d time.Duration) { l.server.ReadTimeout = d }
