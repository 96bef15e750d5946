package wire

import (
	"net/http"
	"time"
)

// lane is the connection to an instance for one kind of work. It implements
// HTTPClient.
type lane struct {
	*http.Client
}

func newLane(idle time.Duration) *lane {
	return &lane{&http.Client{Transport: &http.Transport{
		Protocols:       unencryptedHTTP2(),
		DialContext:     dial,
		IdleConnTimeout: idle,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: readIdle, PingTimeout: pingTimeout},
	}}}
}

// A peer that does not answer a ping in time is disconnected, which fails the
// calls that are outstanding.
const (
	readIdle    = 1 * time.Second
	pingTimeout = 1 * time.Second
)
