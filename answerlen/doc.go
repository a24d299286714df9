// Package answerlen estimates how many tokens the answer to a request will have, from the answers to earlier requests.
package answerlen
