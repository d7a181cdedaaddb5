// Package platformclient creates a client of the platform from the URL that an operator
// gives.
//
// # Usage
//
//	client, err := platformclient.New(clock.New(), "http://127.0.0.1:9100")
package platformclient

import (
	"fmt"
	"net/url"

	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/platform"
)

// AddressError is returned for a URL that is not of the form http://address:port.
type AddressError struct {
	Address string
}

// Error implements error.
func (e *AddressError) Error() string {
	return fmt.Sprintf("%q is not of the form http://address:port", e.Address)
}

// New returns a client of the platform at the URL, or an *AddressError. It opens no
// connection.
func New(clk clock.Clock, address string) (*platform.Client, error) {
	target, err := url.Parse(address)
	if err != nil || target.Scheme != "http" || target.Host == "" {
		return nil, &AddressError{Address: address}
	}
	return platform.New(clk, platform.Config{Address: target.Host}), nil
}
