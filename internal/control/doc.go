// Package control is the control daemon: a replica of the log, the membership hub and the operator API.
package control
