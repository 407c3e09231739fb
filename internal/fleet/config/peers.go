package config

import (
	"context"
	"net/http"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/members"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/rpc"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/transport"
)

// peerTimeout bounds one call to another entry.
const peerTimeout = 2 * time.Second

// Peers calls the other entries. Implementations are safe for concurrent use.
type Peers interface {
	// Push offers a revision to an entry.
	Push(ctx context.Context, to members.Member, req *rpc.PushRequest) (*rpc.PushResponse, error)
	// Fetch asks an entry for its head and for chunks.
	Fetch(ctx context.Context, from members.Member, req *rpc.FetchRequest) (*rpc.FetchResponse, error)
	// State asks an entry what is in force there.
	State(ctx context.Context, of members.Member, req *rpc.StateRequest) (*rpc.StateResponse, error)
}

// twirpPeers is Peers over the fleet's transport.
type twirpPeers struct {
	client *transport.Client
}

// NewPeers returns Peers that call over client.
func NewPeers(client *transport.Client) Peers {
	return twirpPeers{client}
}

func (p twirpPeers) service(m members.Member) rpc.Config {
	return rpc.NewConfigProtobufClient(p.client.URL(m.Address, ""), p.client.HTTP)
}

// Push implements Peers.
func (p twirpPeers) Push(ctx context.Context, to members.Member, req *rpc.PushRequest) (*rpc.PushResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return p.service(to).Push(ctx, req)
}

// Fetch implements Peers.
func (p twirpPeers) Fetch(ctx context.Context, from members.Member, req *rpc.FetchRequest) (*rpc.FetchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return p.service(from).Fetch(ctx, req)
}

// State implements Peers.
func (p twirpPeers) State(ctx context.Context, of members.Member, req *rpc.StateRequest) (*rpc.StateResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return p.service(of).State(ctx, req)
}

// NewServer returns the HTTP handler of the service config, to be mounted at
// rpc.ConfigPathPrefix.
func NewServer(service rpc.Config) http.Handler {
	return rpc.NewConfigServer(service)
}
