package network

// SetMaxConns changes the number of connections of callers that a guard admits.
func (g *Guard) SetMaxConns(n int) { g.maxConns = n }
