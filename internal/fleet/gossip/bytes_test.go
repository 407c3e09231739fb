package gossip

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/clients/vmlist"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/directory"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/hlc"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/members"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/rpc"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/transport"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// countingConn counts the bytes sent and received on one connection.
type countingConn struct {
	net.Conn
	sent, received *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// benchNode returns one of n listed entries.
func benchNode(b *testing.B, n int) *node {
	var rows []vmlist.VM
	for i := range n {
		rows = append(rows, vmlist.VM{ID: benchVM(i), Role: vmlist.RoleEntry, FailureDomain: "domain-1"})
	}
	log := logrus.NewEntry(logrus.New())
	list := directory.New(directory.Options{List: vmlist.NewStatic(rows...), Interval: time.Hour, Log: log})
	ctx, stop := context.WithCancel(context.Background())
	b.Cleanup(stop)
	go func() { _ = list.Serve(ctx) }()
	for list.View().ReadAt.IsZero() {
		time.Sleep(time.Millisecond)
	}
	f := &fleet{nodes: make(map[ident.VM]*node)}
	f.add(rows[0], list, log)
	f.order[0].install(1)
	f.order[0].tracker.RecordConfirmation(time.Now(), 1)
	return f.order[0]
}

func BenchmarkExchangeOverHTTP2(b *testing.B) {
	for _, contacts := range []bool{false, true} {
		b.Run(fmt.Sprintf("entries=330/contacts=%t", contacts), func(b *testing.B) {
			benchmarkExchange(b, benchNode(b, 330), contacts)
		})
	}
}

func benchmarkExchange(b *testing.B, n *node, contacts bool) {
	security := transport.Security{Secret: "a-secret-of-the-benchmark"}
	server, err := transport.NewServer(security, hlc.New(nil), NewHandler(n.service))
	if err != nil {
		b.Fatal("create the server:", err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal("listen:", err)
	}
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	var sent, received atomic.Int64
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		return countingConn{conn, &sent, &received}, err
	}
	client, err := transport.NewClient(security, hlc.New(nil), dial)
	if err != nil {
		b.Fatal("create the client:", err)
	}
	peers := NewPeers(client)
	partner := members.Member{VM: benchVM(0), Address: l.Addr().String()}
	req := &rpc.ExchangeRequest{Sender: n.service.sender(), WantContacts: contacts}
	for b.Loop() {
		if _, err := peers.Exchange(b.Context(), partner, req); err != nil {
			b.Fatal("exchange with the partner:", err)
		}
	}
	const perSecond = float64(time.Second / ExchangeInterval)
	requestBytes := float64(sent.Load()) / float64(b.N)
	responseBytes := float64(received.Load()) / float64(b.N)
	b.ReportMetric(requestBytes, "askB/op")
	b.ReportMetric(responseBytes, "answerB/op")
	// A node sends and receives equally many requests.
	b.ReportMetric(perSecond*(requestBytes+responseBytes), "sentB/s")
	b.ReportMetric(2*perSecond, "messages/s")
}

func benchVM(i int) ident.VM { return ident.VM(fmt.Sprintf("entry-%03d", i)) }
