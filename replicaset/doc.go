// Package replicaset forms groups of upstreams for the declared models. It decides which upstreams join which group, which weights
// they load, and when a group is closed or replaced, and sends the orders to the engines.
package replicaset
