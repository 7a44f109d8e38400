package network

import "net"

// ConnCost is what each connection of a caller takes from the budget.
const ConnCost = connCost

// SetMaxConns changes the number of connections of callers that a guard admits.
func (g *Guard) SetMaxConns(n int) { g.maxConns = n }

// Addr returns the address of the listener.
func (s *DrainServer) Addr() net.Addr { return s.listener.Addr() }
