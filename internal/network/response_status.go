package network

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrInvalidStatus means that a server answered with a status code outside 100 to 599.
// net/http accepts any code from 0 to 999, and "+12" for 12, but panics if a handler passes on
// one below 100.
var ErrInvalidStatus = errors.New("invalid status code")

// CheckStatus returns an ErrInvalidStatus for a code outside 100 to 599.
func CheckStatus(code int) error {
	const lowest, highest = 100, 599
	if code < lowest || code > highest {
		return fmt.Errorf("%w: %d", ErrInvalidStatus, code)
	}
	return nil
}

// CheckStatuses returns a transport that fails requests whose answer has an invalid status code,
// and closes their connection.
func CheckStatuses(next *http.Transport) http.RoundTripper { return statusChecker{next} }

type statusChecker struct{ next *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t statusChecker) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := CheckStatus(response.StatusCode); err != nil {
		_ = response.Body.Close() // closes the connection, unless the body has arrived
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections is used by http.Client.
func (t statusChecker) CloseIdleConnections() { t.next.CloseIdleConnections() }
