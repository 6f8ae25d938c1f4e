package peerer

import (
	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"

	"lycheelift.example/entryd/follower"
	"lycheelift.example/lib/transporter"
)

// Dialer returns the connection to a host by name or address. It is safe for concurrent use.
type Dialer struct {
	*transporter.Conns

	follow *follower.Follower
}

// NewDialer returns a dialer that looks up host addresses in the configuration in force.
func NewDialer(follow *follower.Follower, conns *transporter.Conns) *Dialer {
	return &Dialer{Conns: conns, follow: follow}
}

// Dial returns the connection to a host by name.
func (d *Dialer) Dial(host string) (*grpc.ClientConn, error) {
	address, ok := d.follow.View().Document.Address(host)
	if !ok {
		return nil, oops.In("peerer").Errorf("host %s is not in the configuration", host)
	}
	return d.DialAddress(address.String())
}

// Wake ends the backoff of the connection to a host and reconnects immediately. It is called when a message shows that
// the host is running. Without it, calls to a restarted host would fail until the backoff ends.
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
