package shares

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/rpc"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/transport"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// Errors of this package.
const (
	// ErrUnreachable says that a process did not answer.
	ErrUnreachable = errors.ConstError("process unreachable")
	// ErrNoGeneration says that the process knows no generation yet, so that
	// it cannot tell who holds a share.
	ErrNoGeneration = errors.ConstError("no generation of share holders known yet")
)

const (
	// askTimeout bounds one call to a holder.
	askTimeout = 100 * time.Millisecond
	// controlTimeout bounds one call that moves shares or members.
	controlTimeout = 2 * time.Second
)

// remote calls other processes.
type remote struct {
	client *transport.Client
	peers  Peers
}

// to returns a stub for the entry on vm.
func (r remote) to(vm ident.VM) (rpc.Shares, error) {
	address, ok := r.peers.Address(vm)
	if !ok {
		return nil, ErrUnreachable
	}
	return rpc.NewSharesProtobufClient(r.client.URL(address, ""), r.client.HTTP), nil
}

// call runs f with a stub for the entry on vm and a bounded time.
func (r remote) call(ctx context.Context, vm ident.VM, timeout time.Duration, f func(context.Context, rpc.Shares) error) error {
	stub, err := r.to(vm)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := f(ctx, stub); err != nil {
		return errors.WithType(err, ErrUnreachable)
	}
	return nil
}
