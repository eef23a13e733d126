package explainer

// pressureNote returns the note that targets of the service rejected many attempts, and for
// how long retries waited because of it; "" where the line does not say so.
func pressureNote(l *line) string {
	basis := l.get("retryBasis")
	if basis == "" {
		return ""
	}
	text := "; targets of the service rejected many of the fleet's attempts"
	if waited := l.get("retryDelayMs"); waited != "0" {
		text += ", so that retries waited " + waited + " ms in all"
	}

	return text + " (" + basis + ")"
}
