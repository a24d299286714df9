// Package sharing works out which entries of a large site use which groups of engines.
package sharing
