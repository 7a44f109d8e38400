// Package balancer chooses endpoints and judges their health by progress.
package balancer
