package network

import "net"

// ConnCost, HeadCost and HeadLineCost are the bytes held for a connection, a byte and a line.
const (
	ConnCost     = connCost
	HeadCost     = headCost
	HeadLineCost = headLineCost
)

// SetMaxConns changes the number of connections of callers that a guard admits.
func (g *Guard) SetMaxConns(n int) { g.maxConns = n }

// Addr returns the address of the listener.
func (s *DrainServer) Addr() net.Addr { return s.listener.Addr() }
