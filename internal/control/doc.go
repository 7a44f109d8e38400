// Package control implements the control daemon: a Raft replica with the ledger
// as its state machine, a hub that receives announcements of endpoints and
// pushes the catalogue and the member table to subscribers, the fleet state of
// servers and processes, and the operator API.
//
// Replica runs the event loop of the Raft node. The loop owns the node, the
// ledger and the data directory; all other code reads the View that the loop
// publishes, or sends work to the loop. Each iteration takes a batch of waiting
// work and makes it durable with one sync. The order within an iteration is:
// store, apply, publish the view, send replies. A view is therefore never older
// than what this replica has acknowledged. The confirmation rule relies on this
// order.
package control
