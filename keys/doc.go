// Package keys makes and recognises the secret keys of customers and operators.
package keys
