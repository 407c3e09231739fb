package gossip

import (
	"context"
	"net/http"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/members"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/rpc"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/transport"
)

// twirpPeers implements Peers with Twirp calls.
type twirpPeers struct {
	client *transport.Client
}

// NewPeers returns Peers that call over client.
func NewPeers(client *transport.Client) Peers {
	return twirpPeers{client}
}

// Exchange implements Peers.
func (p twirpPeers) Exchange(
	ctx context.Context, partner members.Member, req *rpc.ExchangeRequest,
) (*rpc.ExchangeResponse, error) {
	service := rpc.NewGossipProtobufClient(p.client.URL(partner.Address, ""), p.client)
	return service.Exchange(ctx, req)
}

// NewHandler returns the HTTP handler of the gossip service. It must be mounted
// at rpc.GossipPathPrefix.
func NewHandler(service rpc.Gossip) http.Handler {
	return rpc.NewGossipServer(service)
}
