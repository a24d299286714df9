package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/dunlinquay/dunlinquay/admission"
	"github.com/dunlinquay/dunlinquay/result"
)

// errorBody is the shape that clients of the OpenAI interface read, with this system's own keys beside theirs.
type errorBody struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	Number  int     `json:"result-code"`
	NotRun  bool    `json:"not-run"`
}

type errorAnswer struct {
	Error errorBody `json:"error"`
}

// described returns err in the shape of the interface. A refusal of a keyed request that came before its claim says
// nothing of earlier runs with that key, so only a claimed request may be called not run.
func described(err error, e *envelope) errorAnswer {
	code := result.CodeOf(err)
	info := result.Lookup(code)
	keyed := e != nil && e.key != ""
	notRun := info.NotRun && (!keyed || afterClaim(code))
	return errorAnswer{errorBody{
		Message: result.Message(err), Type: kindOf(info.Status), Code: info.Name, Number: int(code), NotRun: notRun,
	}}
}

// afterClaim is true for the refusals that the dispatcher gives only once a request's claim was granted: nothing ran with
// that key before. Every other refusal of a keyed request, whichever it is, may meet a key whose request ran earlier.
func afterClaim(code result.Code) bool {
	switch code {
	case result.LimitExceeded, result.Overloaded, result.DeadlineUnreachable, result.NoWholeGroup, result.ModelUnknown, result.BackedOff:
		return true
	}
	return false
}

func kindOf(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status >= http.StatusInternalServerError:
		return "server_error"
	}
	return "invalid_request_error"
}

// fail answers with err before anything else was written; e is nil before the headers were understood.
func (s *Server) fail(w http.ResponseWriter, r *http.Request, err error, e *envelope) {
	if e == nil {
		e = &envelope{key: r.Header.Get(HeaderKey)}
	}
	answer := described(err, e)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderCode, strconv.Itoa(answer.Error.Number))
	h.Set(HeaderNotRun, strconv.FormatBool(answer.Error.NotRun))
	if after := admission.RetryAfter(err); after > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	} else if worthRetrying(result.Code(answer.Error.Number)) {
		h.Set("Retry-After", "1")
	}
	w.WriteHeader(statusOf(result.Code(answer.Error.Number)))
	_ = json.NewEncoder(w).Encode(answer)
}

func worthRetrying(code result.Code) bool {
	switch code {
	case result.InProgress, result.NoWholeGroup, result.ControlUnreachable, result.NoLeader, result.Stopping:
		return true
	}
	return false
}

func statusOf(code result.Code) int {
	if status := result.Lookup(code).Status; status != 0 {
		return status
	}
	return http.StatusInternalServerError
}
