// Package presence assigns to each VM the daemons that probe it, and decides from their observations whether a VM is present in the
// incarnation and epoch that its group was formed with.
package presence
