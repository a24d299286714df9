package relay

// InterruptReason is why this entry closed a caller's connection before the answer was complete.
type InterruptReason string

// Reasons for interruptions. All but InterruptedStop concern answers that had begun; a request without an answer gets a failure instead.
const (
	// InterruptedBudget means that the retry budget did not allow another attempt.
	InterruptedBudget InterruptReason = "retry-budget"
	// InterruptedNoTarget means that no other upstream could take the request.
	InterruptedNoTarget InterruptReason = "no-target"
	// InterruptedAttempt means that the last attempt failed and the route allows no other; the record's last attempt says how.
	InterruptedAttempt InterruptReason = "last-attempt"
	// InterruptedQuarantine means that the request's fingerprint was quarantined.
	InterruptedQuarantine InterruptReason = "quarantine"
	// InterruptedDeadline means that the deadline passed.
	InterruptedDeadline InterruptReason = "deadline"
	// InterruptedStop means that this process ended while the request was in progress.
	InterruptedStop InterruptReason = "stop"
)

// interrupted returns why the caller's connection is closed without a complete answer, "" if the caller closed it.
func (x *exchange) interrupted() InterruptReason {
	switch {
	case x.r.Context().Err() == nil || x.bodyTimedOut:
		return x.endReason
	case x.s.closing.Load():
		return InterruptedStop
	}
	return ""
}
