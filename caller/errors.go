package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/dunlinquay/dunlinquay/admission"
	"github.com/dunlinquay/dunlinquay/result"
)

// errorDetail is the error object of the OpenAI interface, with the result code and not-run as additional keys.
type errorDetail struct {
	Message    string  `json:"message"`
	Type       string  `json:"type"`
	Param      *string `json:"param"`
	Code       string  `json:"code"`
	ResultCode int     `json:"result-code"`
	NotRun     bool    `json:"not-run"`
}

type errorResponse struct {
	Error errorDetail `json:"error"`
}

// newErrorResponse returns the response body for err. A keyed request that was refused before its claim may have run earlier
// with the same key, so only a claimed one is reported as not run.
func newErrorResponse(err error, headers *requestHeaders) errorResponse {
	code := result.CodeOf(err)
	info := result.Lookup(code)
	keyed := headers != nil && headers.key != ""
	notRun := info.NotRun && (!keyed || onlyAfterClaim(code))
	return errorResponse{errorDetail{
		Message: result.Message(err), Type: errorType(info.Status), Code: info.Name, ResultCode: int(code), NotRun: notRun,
	}}
}

// onlyAfterClaim reports whether the dispatcher returns code only after it has granted the request's claim, which means that
// no request with the same key ran before. With any other code, an earlier request with the same key may have run.
func onlyAfterClaim(code result.Code) bool {
	switch code {
	case result.LimitExceeded, result.Overloaded, result.DeadlineUnreachable, result.NoWholeGroup, result.ModelUnknown, result.BackedOff:
		return true
	}
	return false
}

func errorType(status int) string {
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

// writeError writes err as the response, of which nothing has been written yet. headers is nil if they have not been parsed.
func (s *Server) writeError(w http.ResponseWriter, r *http.Request, err error, headers *requestHeaders) {
	if headers == nil {
		headers = &requestHeaders{key: r.Header.Get(HeaderKey)}
	}
	response := newErrorResponse(err, headers)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderResultCode, strconv.Itoa(response.Error.ResultCode))
	h.Set(HeaderNotRun, strconv.FormatBool(response.Error.NotRun))
	if retryAfter := admission.RetryAfter(err); retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	} else if worthRetrying(result.Code(response.Error.ResultCode)) {
		h.Set("Retry-After", "1")
	}
	w.WriteHeader(httpStatus(result.Code(response.Error.ResultCode)))
	_ = json.NewEncoder(w).Encode(response)
}

func worthRetrying(code result.Code) bool {
	switch code {
	case result.InProgress, result.NoWholeGroup, result.ControlUnreachable, result.NoLeader, result.Stopping:
		return true
	}
	return false
}

func httpStatus(code result.Code) int {
	if status := result.Lookup(code).Status; status != 0 {
		return status
	}
	return http.StatusInternalServerError
}
