package config

import (
	"context"
	"net/http"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/members"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/rpc"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/transport"
)

// peerTimeout limits one call to another entry.
const peerTimeout = 2 * time.Second

// Peers is a client of the other entries' Config service. Implementations are
// safe for concurrent use.
type Peers interface {
	// Push sends the head of a revision, optionally with chunks, to an entry.
	Push(ctx context.Context, target members.Member, req *rpc.PushRequest) (*rpc.PushResponse, error)
	// Fetch returns an entry's head and the requested chunks that it has.
	Fetch(ctx context.Context, target members.Member, req *rpc.FetchRequest) (*rpc.FetchResponse, error)
	// State returns the revision in force on an entry and its health.
	State(ctx context.Context, target members.Member, req *rpc.StateRequest) (*rpc.StateResponse, error)
}

// twirpPeers implements Peers with Twirp calls over the fleet's transport.
type twirpPeers struct {
	client *transport.Client
}

// NewPeers returns Peers that send their calls through client.
func NewPeers(client *transport.Client) Peers {
	return twirpPeers{client}
}

func (p twirpPeers) service(m members.Member) rpc.Config {
	return rpc.NewConfigProtobufClient(p.client.URL(m.Address, ""), p.client)
}

// Push implements Peers.
func (p twirpPeers) Push(ctx context.Context, target members.Member, req *rpc.PushRequest) (*rpc.PushResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return p.service(target).Push(ctx, req)
}

// Fetch implements Peers.
func (p twirpPeers) Fetch(ctx context.Context, target members.Member, req *rpc.FetchRequest) (*rpc.FetchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return p.service(target).Fetch(ctx, req)
}

// State implements Peers.
func (p twirpPeers) State(ctx context.Context, target members.Member, req *rpc.StateRequest) (*rpc.StateResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return p.service(target).State(ctx, req)
}

// NewServer returns the HTTP handler of the Config service. Mount it at
// rpc.ConfigPathPrefix.
func NewServer(service rpc.Config) http.Handler {
	return rpc.NewConfigServer(service)
}
