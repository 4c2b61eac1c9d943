package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/dispatch"
	"dogwoodknot.example/dogwoodknot/internal/operations"
)

// Headers of every answer.
const (
	headerExecution = "Dogwoodknot-Execution"
	headerRequestID = "X-Request-Id"
)

// headerServedRegion names the region whose endpoints gave the answer, or were tried last.
const headerServedRegion = "Dogwoodknot-Served-Region"

// failure is the part of an apiError that the dispatcher can return, too.
type failure = dispatch.Error

// apiError is an error as the caller gets it.
type apiError struct {
	failure
	Param   string
	Entries []Entry // instances that the caller may use instead
}

// notRunError returns the error of a request that has not run.
func notRunError(status int, code, message string) *apiError {
	return &apiError{failure: dispatch.Error{Status: status, Code: code, Message: message, Execution: operations.NotRun}}
}

func (e *apiError) after(d time.Duration) *apiError {
	e.RetryAfter = d
	return e
}

func (e *apiError) param(name string) *apiError {
	e.Param = name
	return e
}

// asAPIError converts any error to an apiError. An error of an unknown type becomes an internal error, with an unknown execution.
func asAPIError(err error) *apiError {
	var api *apiError
	if errors.As(err, &api) {
		return api
	}
	var e *dispatch.Error
	if errors.As(err, &e) {
		return &apiError{failure: *e}
	}
	return &apiError{failure: dispatch.Error{
		Status: http.StatusInternalServerError, Code: "internal_error", Message: "the request failed inside the gateway",
		Execution: operations.Unknown,
	}}
}

type errorBody struct {
	Error     errorDetail          `json:"error"`
	Execution operations.Execution `json:"execution"`
	Entries   []Entry              `json:"entries,omitempty"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    string  `json:"code"`
	Param   *string `json:"param"`
}

func (e *apiError) body() []byte {
	detail := errorDetail{Message: e.Message, Type: errorType(e.Status), Code: e.Code}
	if e.Param != "" {
		detail.Param = &e.Param
	}
	out, err := json.Marshal(errorBody{Error: detail, Execution: e.Execution, Entries: e.Entries})
	if err != nil {
		panic(err) // cannot happen: there are only strings and numbers in it
	}
	return out
}

// errorType returns the error type that OpenAI's API uses for a status.
func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusNotFound:
		return "not_found_error"
	case status == http.StatusConflict:
		return "conflict_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status >= http.StatusInternalServerError:
		return "server_error"
	}
	return "invalid_request_error"
}

// retryAfter formats a time in whole seconds, rounded up, so that the caller doesn't retry too early.
func retryAfter(d time.Duration) string {
	return strconv.FormatInt(max(int64(math.Ceil(d.Seconds())), 1), 10)
}

// writeTo sends the error as the answer.
func (e *apiError) writeTo(w http.ResponseWriter) {
	h := w.Header()
	body := e.body()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(headerExecution, string(e.Execution))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", retryAfter(e.RetryAfter))
	}
	w.WriteHeader(e.Status)
	_, _ = w.Write(body) // an error means that the caller has disconnected
}
