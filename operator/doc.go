// Package operator speaks HTTP towards operators: changes, state, explanations and waiting.
package operator
