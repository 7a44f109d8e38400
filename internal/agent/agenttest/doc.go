// Package agenttest has fakes of what an agent talks to, voters and an engine,
// at their network interfaces. Tests and measurements use it.
package agenttest
