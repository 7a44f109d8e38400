// Package transfer moves verified chunks between instances, the weight store and the origin.
package transfer
