// Package admission decides which requests are let in, and in which order organisations are served.
package admission
