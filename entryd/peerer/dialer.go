package peerer

import (
	"github.com/samber/oops"
	"google.golang.org/grpc"

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
