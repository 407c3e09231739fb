package fencing

import (
	"context"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/clients/engine"
)

// Guard is an engine.Engine that sends orders with the current token of a
// TokenHolder. If the TokenHolder allows no orders, Load and Unload return an error
// that is engine.ErrUnavailable. If the engine refuses an order because of a higher
// token, Guard marks the TokenHolder as superseded.
type Guard struct {
	engine.Engine
	tokens *TokenHolder
}

// NewGuard returns a Guard that sends orders to e with the tokens of h.
func NewGuard(e engine.Engine, h *TokenHolder) *Guard {
	return &Guard{Engine: e, tokens: h}
}

// Load implements engine.Engine. The given token is replaced by the current one.
func (g *Guard) Load(ctx context.Context, b engine.AdapterBuild, _ engine.FencingToken) error {
	return g.sendOrder(func(token engine.FencingToken) error { return g.Engine.Load(ctx, b, token) })
}

// Unload implements engine.Engine. The given token is replaced by the current one.
func (g *Guard) Unload(ctx context.Context, b engine.AdapterBuild, _ engine.FencingToken) error {
	return g.sendOrder(func(token engine.FencingToken) error { return g.Engine.Unload(ctx, b, token) })
}

// sendOrder calls send with the current token.
func (g *Guard) sendOrder(send func(engine.FencingToken) error) error {
	token, ok := g.tokens.Current()
	if !ok {
		return errors.WithType(errors.New("no valid fencing token, order not sent"), engine.ErrUnavailable)
	}
	err := send(token)
	if errors.Is(err, engine.ErrFenced) {
		g.tokens.MarkSuperseded()
	}
	return err
}
