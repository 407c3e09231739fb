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
	// ErrUnreachable is returned if a process has no known address or does not
	// respond.
	ErrUnreachable = errors.ConstError("process of the share holder is unreachable")
	// ErrNoGeneration is returned while the process has no generation and
	// therefore cannot determine the holder of a share.
	ErrNoGeneration = errors.ConstError("generation of share holders is not known yet")
)

const (
	// callTimeout bounds a call that reserves, settles, inspects or requests a
	// change.
	callTimeout = 100 * time.Millisecond
	// controlTimeout bounds a call that transfers or lists shares.
	controlTimeout = 2 * time.Second
)

// remote calls other processes.
type remote struct {
	client *transport.Client
	peers  Peers
}

// stubFor returns a client stub for the entry on vm.
func (r remote) stubFor(vm ident.VM) (rpc.Shares, error) {
	address, ok := r.peers.Address(vm)
	if !ok {
		return nil, ErrUnreachable
	}
	return rpc.NewSharesProtobufClient(r.client.URL(address, ""), r.client), nil
}

// call runs f with a stub for the entry on vm. timeout bounds the call.
func (r remote) call(ctx context.Context, vm ident.VM, timeout time.Duration, f func(context.Context, rpc.Shares) error) error {
	stub, err := r.stubFor(vm)
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
