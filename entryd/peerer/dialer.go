package peerer

import (
	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"

	"lycheelift.example/entryd/follower"
	"lycheelift.example/lib/transporter"
)

// Dialer finds the connection to a host by its name or address. It is safe for concurrent use.
type Dialer struct {
	*transporter.Conns

	follow *follower.Follower
}

// NewDialer returns a dialer that finds addresses in the configuration in force.
func NewDialer(follow *follower.Follower, conns *transporter.Conns) *Dialer {
	return &Dialer{Conns: conns, follow: follow}
}

// Dial returns the connection to a host by its name.
func (d *Dialer) Dial(host string) (*grpc.ClientConn, error) {
	address, ok := d.follow.View().Document.Address(host)
	if !ok {
		return nil, oops.In("peerer").Errorf("host %s is not in the configuration", host)
	}
	return d.DialAddress(address.String())
}

// Wake ends the wait before the next attempt to connect to a host: something was heard of it, so it runs again.
// Without this, calls to a host that came back would fail until the wait ends.
func (d *Dialer) Wake(host string) {
	conn, err := d.Dial(host)
	if err != nil {
		return
	}
	if conn.GetState() != connectivity.Ready {
		conn.ResetConnectBackoff()
		conn.Connect()
	}
}
