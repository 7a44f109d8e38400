// Package control is the control daemon: a replica of the log with its ledger,
// the hub that endpoints announce themselves to and that pushes the catalogue
// and the member table, and the operator API.
//
// Replica is the loop around the raft node and the only owner of node, ledger
// and data folder. Everything else reads the View that the loop publishes, or
// sends it work. Each turn of the loop takes in all waiting work and stores it
// with one sync. The order within a turn is: store, apply, publish the view,
// send replies. A view is therefore never older than what this replica has
// acknowledged, which the confirmation rule relies on.
package control
