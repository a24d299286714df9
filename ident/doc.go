// Package ident defines the types of ids, names and units that the other packages share.
package ident
