// Package replicaset forms groups of upstreams for the declared models, keeps them whole and dissolves what is broken.
package replicaset
