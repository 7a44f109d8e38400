// Package quarantine tracks requests suspected of crashing endpoints.
package quarantine
