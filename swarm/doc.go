// Package swarm decides which chunk an instance fetches from which source, and when.
package swarm
